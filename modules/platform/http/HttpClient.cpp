#include <platform/http/HttpClient.h>

#include <platform/http/HttpConnection.h>
#include <platform/http/HttpExchange.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace Greengage {

namespace {

constexpr std::size_t maxIdleConnections = 64;

} // namespace

class HttpClient::Implementation {
public:
    Implementation(event_base& base, std::string sourceAddress)
        : base(base)
        , sourceAddress(std::move(sourceAddress))
    {
    }

    void send(const HttpCall& call, Callback callback)
    {
        auto finished
            = [this, callback = std::move(callback)](HttpExchange& exchange) { this->finish(exchange, callback); };
        auto exchange = std::make_unique<HttpExchange>(this->base, this->connectionFor(call), std::move(finished));
        auto& started = *exchange;
        this->exchanges.emplace(&started, std::move(exchange));
        started.start(call);
    }

    void closeIdleConnections() { this->idle.clear(); }

private:
    std::unique_ptr<HttpConnection> connectionFor(const HttpCall& call)
    {
        auto leadsThere = [&call](const auto& connection) { return connection->leadsTo(call.address, call.port); };
        auto found = std::find_if(this->idle.begin(), this->idle.end(), leadsThere);
        if (found == this->idle.end() || call.freshConnection)
            return std::make_unique<HttpConnection>(this->base, this->sourceAddress, call.address, call.port);
        auto connection = std::move(*found);
        this->idle.erase(found);
        return connection;
    }

    void finish(HttpExchange& exchange, const Callback& callback)
    {
        auto entry = this->exchanges.extract(&exchange);
        auto outcome = exchange.takeOutcome();
        auto connection = exchange.takeReusableConnection();
        if (connection && this->idle.size() < maxIdleConnections)
            this->idle.push_back(std::move(connection));
        entry = {};
        // The callback comes last because it may destroy this client.
        callback(std::move(outcome));
    }

    event_base& base;
    std::string sourceAddress;
    std::unordered_map<HttpExchange*, std::unique_ptr<HttpExchange>> exchanges;
    std::vector<std::unique_ptr<HttpConnection>> idle;
};

HttpClient::HttpClient(event_base& base, std::string sourceAddress)
    : implementation(std::make_unique<Implementation>(base, std::move(sourceAddress)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpCall call, Callback callback) { this->implementation->send(call, std::move(callback)); }

void HttpClient::closeIdleConnections() { this->implementation->closeIdleConnections(); }

} // namespace Greengage
