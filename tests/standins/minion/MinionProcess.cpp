#include <standins/minion/MinionProcess.h>

#include <standins/common/HttpReplies.h>
#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>

#include <algorithm>
#include <event2/http.h>

namespace Greengage {

MinionProcess::MinionProcess(Loop& loop, const std::string& controlAddress, std::uint16_t controlPort,
    const std::string& historyPath, const std::vector<EndpointSettings>& settings)
    : history(historyPath)
    , control(loop, controlAddress, controlPort, [this](evhttp_request* request) { this->handleControl(request); })
{
    for (const auto& endpointSettings : settings)
        this->endpoints.push_back(std::make_unique<Endpoint>(loop, this->history, endpointSettings));
}

bool MinionProcess::start()
{
    auto starts = [](const auto& endpoint) { return endpoint->start(); };
    return std::all_of(this->endpoints.begin(), this->endpoints.end(), starts) && this->control.listen();
}

void MinionProcess::handleControl(evhttp_request* request)
{
    if (HttpReplies::path(request) == "/control/state") {
        Json::Value json;
        json["endpoints"] = Json::arrayValue;
        for (const auto& endpoint : this->endpoints)
            json["endpoints"].append(endpoint->describe());
        HttpReplies::json(request, json);
        return;
    }
    auto settings = parseJsonObject(HttpReplies::body(request));
    if (!settings || !(*settings)["vm"].isString()) {
        HttpReplies::text(request, HTTP_BADREQUEST, "body is not a JSON object with a string \"vm\"");
        return;
    }
    auto vm = (*settings)["vm"].asString();
    bool found = false;
    for (const auto& endpoint : this->endpoints) {
        if (vm != "*" && vm != endpoint->vm())
            continue;
        endpoint->applyControl(*settings);
        found = true;
    }
    HttpReplies::text(request, found ? HTTP_OK : HTTP_NOTFOUND, "{}");
}

} // namespace Greengage
