#include <store/http/HttpClient.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <store/http/HttpConnection.h>
#include <store/http/HttpExchange.h>

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Greengage {

namespace {

/// Idle connections kept per address: as many as an endpoint accepts.
constexpr std::size_t maxIdlePerAddress = 64;

} // namespace

class HttpClient::Implementation {
public:
    Implementation(event_base& base, std::string sourceAddress)
        : base(base)
        , sourceAddress(std::move(sourceAddress))
    {
    }

    void send(const HttpRequest& call, Callback callback)
    {
        auto finished = [this, address = Address(call.address, call.port), callback = std::move(callback)](
                            HttpExchange& exchange) { this->finish(exchange, address, callback); };
        auto exchange = std::make_unique<HttpExchange>(this->base, this->acquireConnection(call), std::move(finished));
        auto& activeExchange = *exchange;
        this->exchanges.emplace(&activeExchange, std::move(exchange));
        activeExchange.start(call);
    }

    void closeIdleConnections() { this->idleByAddress.clear(); }

private:
    using Address = std::pair<std::string, std::uint16_t>;

    std::unique_ptr<HttpConnection> acquireConnection(const HttpRequest& call)
    {
        auto found = this->idleByAddress.find(Address(call.address, call.port));
        if (found == this->idleByAddress.end() || found->second.empty() || call.freshConnection)
            return std::make_unique<HttpConnection>(this->base, this->sourceAddress, call.address, call.port);
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        return connection;
    }

    void finish(HttpExchange& exchange, const Address& address, const Callback& callback)
    {
        auto entry = this->exchanges.extract(&exchange);
        auto outcome = exchange.takeOutcome();
        if (auto silentSince = exchange.silentSince())
            this->closeSilentConnections(address, *silentSince);
        auto connection = exchange.takeReusableConnection();
        if (connection) {
            auto& idleConnections = this->idleByAddress[address];
            if (idleConnections.size() < maxIdlePerAddress)
                idleConnections.push_back(std::move(connection));
        }
        entry = {};
        // The callback is called last because it may destroy this client.
        callback(std::move(outcome));
    }

    /// Closes the idle connections to the address on which nothing has arrived since. Without this, each later call
    /// could use up its whole time limit on one of them.
    void closeSilentConnections(const Address& address, Instant since)
    {
        auto found = this->idleByAddress.find(address);
        if (found == this->idleByAddress.end())
            return;
        std::size_t closed = std::erase_if(
            found->second, [since](const auto& connection) { return connection->lastResponse() < since; });
        if (closed)
            writeLog(LogLevel::Info,
                LogLine("silent_connections_closed")
                    .add("address", address.first)
                    .add("port", address.second)
                    .add("closed", closed)
                    .add("kept", found->second.size()));
    }

    event_base& base;
    std::string sourceAddress;
    std::unordered_map<HttpExchange*, std::unique_ptr<HttpExchange>> exchanges;
    std::map<Address, std::vector<std::unique_ptr<HttpConnection>>> idleByAddress;
};

HttpClient::HttpClient(event_base& base, std::string sourceAddress)
    : implementation(std::make_unique<Implementation>(base, std::move(sourceAddress)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest call, Callback callback) { this->implementation->send(call, std::move(callback)); }

void HttpClient::closeIdleConnections() { this->implementation->closeIdleConnections(); }

} // namespace Greengage
