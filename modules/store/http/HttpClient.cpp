#include <store/http/HttpClient.h>

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
        auto finished
            = [this, callback = std::move(callback)](HttpExchange& exchange) { this->finish(exchange, callback); };
        auto exchange = std::make_unique<HttpExchange>(this->base, this->acquireConnection(call), std::move(finished));
        auto& activeExchange = *exchange;
        this->exchanges.emplace(&activeExchange, std::move(exchange));
        activeExchange.start(call);
    }

    void closeIdleConnections() { this->idleByAddress.clear(); }

private:
    std::unique_ptr<HttpConnection> acquireConnection(const HttpRequest& call)
    {
        auto found = this->idleByAddress.find({ call.address, call.port });
        if (found == this->idleByAddress.end() || found->second.empty() || call.freshConnection)
            return std::make_unique<HttpConnection>(this->base, this->sourceAddress, call.address, call.port);
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        return connection;
    }

    void finish(HttpExchange& exchange, const Callback& callback)
    {
        auto entry = this->exchanges.extract(&exchange);
        auto outcome = exchange.takeOutcome();
        auto connection = exchange.takeReusableConnection();
        if (connection) {
            auto& idleConnections = this->idleByAddress[{ connection->remoteAddress(), connection->remotePort() }];
            if (idleConnections.size() < maxIdlePerAddress)
                idleConnections.push_back(std::move(connection));
        }
        entry = {};
        // The callback is called last because it may destroy this client.
        callback(std::move(outcome));
    }

    event_base& base;
    std::string sourceAddress;
    std::unordered_map<HttpExchange*, std::unique_ptr<HttpExchange>> exchanges;
    std::map<std::pair<std::string, std::uint16_t>, std::vector<std::unique_ptr<HttpConnection>>> idleByAddress;
};

HttpClient::HttpClient(event_base& base, std::string sourceAddress)
    : implementation(std::make_unique<Implementation>(base, std::move(sourceAddress)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest call, Callback callback) { this->implementation->send(call, std::move(callback)); }

void HttpClient::closeIdleConnections() { this->implementation->closeIdleConnections(); }

} // namespace Greengage
