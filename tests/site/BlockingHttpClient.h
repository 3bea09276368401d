#pragma once

#include <json/value.h>
#include <standins/common/Loop.h>
#include <store/http/HttpClient.h>

#include <functional>
#include <string>

namespace Greengage {

/// A blocking HTTP client for tests that control other processes.
class BlockingHttpClient {
public:
    using Outcome = Result<HttpResponse, HttpFailure>;

    BlockingHttpClient();

    /// Sends the call on a new connection and waits for the outcome.
    Outcome send(HttpRequest);

    /// POSTs a JSON object and returns the JSON object in the answer. Throws if the call fails, its status is not 200
    /// or the answer is not a JSON object. `get` does the same without a body.
    Json::Value post(const std::string& address, std::uint16_t port, const std::string& path, const Json::Value& body);
    Json::Value get(const std::string& address, std::uint16_t port, const std::string& path);

    /// Polls the condition until it holds or the limit has passed; returns whether it holds.
    bool waitUntil(const std::function<bool()>& condition, Milliseconds limit);

private:
    Json::Value sendForJson(const HttpRequest&);

    Loop loop;
    HttpClient client;
};

} // namespace Greengage
