#pragma once

#include <cli/tests/FakeFleet.h>
#include <standins/common/HttpService.h>

#include <string>

struct evhttp_request;

namespace Greengage {

class Loop;

/// Serves the admin port of a daemon to greengagectl, so that sessions can be tested without real daemons.
class FakeDaemon {
public:
    FakeDaemon(Loop&, FakeFleet&, std::string name, const std::string& address, std::uint16_t port);

    bool listen() { return this->service.listen(); }
    void stop() { this->service.stopListening(); }

private:
    void handle(evhttp_request*);
    void answerSubmission(evhttp_request*);
    void answerWave(evhttp_request*, const std::string& path);
    void answerStatus(evhttp_request*);
    void answerHistory(evhttp_request*, const std::string& change);

    Loop& loop;
    FakeFleet& fleet;
    std::string name;
    HttpService service;
};

} // namespace Greengage
