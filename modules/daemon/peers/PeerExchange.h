#pragma once

#include <config/settings/SocketAddress.h>
#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>
#include <loop/timers/Timer.h>
#include <mesh/MeshClient.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace Greengage {

struct DocumentRecord;

/// Exchanges states with the other daemons twice a second, and fetches the document from one that has a newer revision.
class PeerExchange {
public:
    struct Handlers {
        /// Called before the peers are asked.
        std::function<void()> roundBegins;
        /// A peer has answered; the exchange began at `askedAt`.
        std::function<void(PeerState, Instant askedAt)> heard;
        std::function<std::uint64_t()> appliedRevision;
        std::function<void(const DocumentRecord&)> fetched;
    };

    PeerExchange(event_base&, std::string sourceAddress, Handlers);

    /// Sets whom to talk to. Connections to peers that stay are kept.
    void setPeers(const std::vector<SocketAddress>&);

    /// Exchanges with every peer now, since something has changed that they should know soon.
    void exchangeNow();

    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct AddressOrder {
        bool operator()(const SocketAddress& left, const SocketAddress& right) const
        {
            return std::tie(left.address, left.port) < std::tie(right.address, right.port);
        }
    };

    void round();
    void exchange(MeshClient&);
    void fetch(MeshClient&);

    event_base& base;
    std::string sourceAddress;
    Handlers handlers;
    std::map<SocketAddress, std::unique_ptr<MeshClient>, AddressOrder> clients;
    bool fetching = false;
    /// Bytes of clients that are gone.
    std::uint64_t formerlySent = 0;
    std::uint64_t formerlyReceived = 0;
    Timer timer;
};

} // namespace Greengage
