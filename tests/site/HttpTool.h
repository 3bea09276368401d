#pragma once

#include <json/value.h>
#include <standins/common/Loop.h>
#include <store/http/HttpClient.h>

#include <functional>
#include <string>

namespace Greengage {

/// Makes HTTP calls and waits for their answers, as a test does that drives other processes.
class HttpTool {
public:
    using Outcome = Result<HttpAnswer, HttpFailure>;

    HttpTool();

    /// Sends the call on a connection of its own.
    Outcome send(HttpCall);

    /// POSTs a JSON object and returns the JSON answer. Throws if it does not come with status 200.
    Json::Value post(const std::string& address, std::uint16_t port, const std::string& path, const Json::Value& body);
    Json::Value get(const std::string& address, std::uint16_t port, const std::string& path);

    /// Tries the condition again and again; tells whether it has come to hold within the limit.
    bool waitUntil(const std::function<bool()>& condition, Milliseconds limit);

private:
    Json::Value sendForJson(const HttpCall&);

    Loop loop;
    HttpClient client;
};

} // namespace Greengage
