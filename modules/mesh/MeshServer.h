#pragma once

#include <core/errors/Result.h>
#include <fleet/peers/PeerState.h>
#include <loop/guard/CloseReason.h>
#include <mesh/MeshError.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace Greengage {

struct DocumentRecord;

/// Serves the calls of other daemons.
class MeshServer {
public:
    struct Handlers {
        /// Returns the state of this daemon.
        std::function<PeerState()> describe;
        /// Returns the record of the document that this daemon has applied, or null if there is none.
        std::function<const DocumentRecord*()> currentDocument;
        /// A connection was closed to keep the limits.
        std::function<void(CloseReason)> onClosing;
    };

    MeshServer(event_base&, std::string address, std::uint16_t port, Handlers);
    ~MeshServer();

    MeshServer(const MeshServer&) = delete;
    MeshServer& operator=(const MeshServer&) = delete;

    /// Starts to accept connections. Fails if the address cannot be bound.
    Result<void, MeshError> listen();

    std::uint64_t bytesReceived() const;
    std::uint64_t bytesSent() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
