#pragma once

#include <standins/common/HistoryFile.h>
#include <standins/common/HttpService.h>
#include <standins/minion/Endpoint.h>

#include <memory>
#include <string>
#include <vector>

namespace Greengage {

class Loop;

/// The endpoints of one process and the HTTP service that controls them.
class MinionProcess {
public:
    MinionProcess(Loop&, const std::string& controlAddress, std::uint16_t controlPort, const std::string& historyPath,
        const std::vector<EndpointSettings>&);

    /// Returns whether all addresses could be bound.
    bool start();

private:
    /// Handles POST /control {"vm": id or "*", members of Endpoint::applyControl} and GET /control/state.
    void handleControl(evhttp_request*);

    HistoryFile history;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    HttpService control;
};

} // namespace Greengage
