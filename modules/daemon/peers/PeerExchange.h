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

/// Reads the states of the other daemons twice a second, and fetches the document from a daemon with a newer revision.
class PeerExchange {
public:
    struct Handlers {
        /// Called before the states of all peers are requested.
        std::function<void()> onExchangeStarting;
        /// Called with the state of a peer that was requested at `askedAt`.
        std::function<void(PeerState, Instant askedAt)> onStateReceived;
        /// Returns the revision of the document that this daemon has applied.
        std::function<std::uint64_t()> appliedRevision;
        /// Called with a document that was fetched from a peer.
        std::function<void(const DocumentRecord&)> onDocumentFetched;
    };

    PeerExchange(event_base&, std::string sourceAddress, Handlers);

    /// Sets the peers to exchange states with. Connections to peers that stay in the list are kept open.
    void setPeers(const std::vector<SocketAddress>&);

    /// Reads the states of all peers now instead of at the next interval.
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

    void exchangeWithAll();
    void exchange(MeshClient&);
    void fetch(MeshClient&);

    event_base& base;
    std::string sourceAddress;
    Handlers handlers;
    std::map<SocketAddress, std::unique_ptr<MeshClient>, AddressOrder> clients;
    bool fetching = false;
    /// Bytes exchanged by clients of peers that were removed.
    std::uint64_t removedClientsSent = 0;
    std::uint64_t removedClientsReceived = 0;
    Timer timer;
};

} // namespace Greengage
