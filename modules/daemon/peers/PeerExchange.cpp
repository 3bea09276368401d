#include <daemon/peers/PeerExchange.h>

#include <config/model/DocumentRecord.h>
#include <core/time/BootClock.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr Milliseconds exchangeInterval { 500 };

} // namespace

PeerExchange::PeerExchange(event_base& base, std::string sourceAddress, Handlers handlers)
    : base(base)
    , sourceAddress(std::move(sourceAddress))
    , handlers(std::move(handlers))
    , timer(base, [this] { this->exchangeWithAll(); })
{
    this->timer.schedule(Microseconds::zero());
}

void PeerExchange::setPeers(const std::vector<SocketAddress>& peers)
{
    std::erase_if(this->clients, [this, &peers](const auto& entry) {
        if (std::find(peers.begin(), peers.end(), entry.first) != peers.end())
            return false;
        this->removedClientsSent += entry.second->bytesSent();
        this->removedClientsReceived += entry.second->bytesReceived();
        // The removed client drops its calls without calling back, so a fetch on it would never reset the flag.
        this->fetching = false;
        return true;
    });
    for (const SocketAddress& peer : peers) {
        auto& client = this->clients[peer];
        if (!client)
            client = std::make_unique<MeshClient>(this->base, peer, this->sourceAddress);
    }
}

void PeerExchange::exchangeNow() { this->timer.schedule(Microseconds::zero()); }

void PeerExchange::exchangeWithAll()
{
    this->timer.schedule(exchangeInterval);
    this->handlers.onExchangeStarting();
    for (auto& [address, client] : this->clients)
        this->exchange(*client);
}

void PeerExchange::exchange(MeshClient& client)
{
    Instant askedAt = BootClock::now();
    client.readState([this, &client, askedAt](Result<PeerState, MeshError> answer) {
        if (!answer.has_value())
            return;
        bool isNewer = answer.value().appliedRevision > this->handlers.appliedRevision();
        this->handlers.onStateReceived(std::move(answer.value()), askedAt);
        if (isNewer && !this->fetching)
            this->fetch(client);
    });
}

void PeerExchange::fetch(MeshClient& client)
{
    this->fetching = true;
    client.fetchDocument(this->handlers.appliedRevision() + 1, [this](Result<DocumentRecord, MeshError> record) {
        this->fetching = false;
        if (record.has_value())
            this->handlers.onDocumentFetched(record.value());
    });
}

std::uint64_t PeerExchange::bytesSent() const
{
    std::uint64_t sum = this->removedClientsSent;
    for (const auto& [address, client] : this->clients)
        sum += client->bytesSent();
    return sum;
}

std::uint64_t PeerExchange::bytesReceived() const
{
    std::uint64_t sum = this->removedClientsReceived;
    for (const auto& [address, client] : this->clients)
        sum += client->bytesReceived();
    return sum;
}

} // namespace Greengage
