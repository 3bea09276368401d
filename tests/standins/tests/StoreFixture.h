#pragma once

#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>
#include <standins/store/StoreService.h>
#include <store/store.h>

#include <optional>
#include <string>
#include <unistd.h>

namespace Greengage {

/// A store stand-in and its clients on one event loop.
class StoreFixture {
public:
    static constexpr Milliseconds waitLimit { 10000 };

    StoreFixture()
        : port(static_cast<std::uint16_t>(21000 + getpid() % 400 * 2))
        , service(this->loop, "127.3.0.1", this->port, this->port + 1, "")
        , client(this->loop.base(), "127.3.0.1", this->port, "127.1.1.1")
        , controlClient(this->loop.base(), "127.0.0.1")
    {
        if (!this->service.start())
            throw std::runtime_error("store stand-in cannot listen");
    }

    /// Starts a call with `begin(callback)` and runs the loop until the callback has been called.
    template <typename Value, typename Begin> Result<Value, StoreError> await(Begin begin)
    {
        std::optional<Result<Value, StoreError>> outcome;
        begin([&outcome](Result<Value, StoreError> result) { outcome = std::move(result); });
        if (!this->loop.runUntil([&outcome] { return outcome.has_value(); }, waitLimit))
            throw std::runtime_error("store call has not ended in time");
        return *outcome;
    }

    Result<std::uint64_t, StoreError> write(const StoreWrite& write)
    {
        return this->await<std::uint64_t>([&](auto callback) { this->client.write(write, callback); });
    }

    Result<StoreEntry, StoreError> read(const std::string& key)
    {
        return this->await<StoreEntry>([&](auto callback) { this->client.read(key, callback); });
    }

    /// Sends a control message and returns the answer; an empty message requests the counts of calls.
    Json::Value control(const std::string& body)
    {
        HttpRequest call;
        call.address = "127.3.0.1";
        call.port = this->port + 1;
        call.path = body.empty() ? "/control/calls" : "/control";
        call.body = body;
        std::optional<std::string> answer;
        this->controlClient.send(call,
            [&answer](Result<HttpResponse, HttpFailure> result) { answer = result ? result.value().body : "failed"; });
        this->loop.runUntil([&answer] { return answer.has_value(); }, waitLimit);
        return parseJsonObject(answer.value_or("")).value();
    }

    Loop loop;
    std::uint16_t port;
    StoreService service;
    StoreClient client;
    HttpClient controlClient;
};

} // namespace Greengage
