#include <standins/relay/RelayProcess.h>

#include <standins/common/HttpReplies.h>
#include <standins/common/JsonText.h>
#include <standins/common/Loop.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <json/json.h>
#include <netinet/in.h>

namespace Greengage {

namespace {

constexpr int listenBacklog = 512;

std::string toText(const sockaddr* address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text.data(), text.size());
    return text.data();
}

RelayRule toRule(const Json::Value& json)
{
    auto action = enumFromName<RelayAction>(json["action"].asString());
    if (!action)
        throw Json::RuntimeError("action must be pass, freeze or reset");
    return { json["source"].asString(), json["destination"].asString(), *action };
}

} // namespace

RelayProcess::RelayProcess(
    Loop& loop, const std::string& controlAddress, std::uint16_t controlPort, std::vector<RelayRoute> routes)
    : loop(loop)
    , control(loop, controlAddress, controlPort, [this](evhttp_request* request) { this->handleControl(request); })
{
    for (auto& route : routes)
        this->listeners.push_back(std::make_unique<Listener>(Listener { this, std::move(route), nullptr }));
}

RelayProcess::~RelayProcess()
{
    for (const auto& listener : this->listeners) {
        if (listener->handle)
            evconnlistener_free(listener->handle);
    }
}

bool RelayProcess::start()
{
    auto listens = [this](const auto& listener) { return this->listen(*listener); };
    return std::all_of(this->listeners.begin(), this->listeners.end(), listens) && this->control.listen();
}

bool RelayProcess::listen(Listener& listener)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(listener.route.listenPort);
    inet_pton(AF_INET, listener.route.listenAddress.c_str(), &address.sin_addr);
    listener.handle = evconnlistener_new_bind(&this->loop.base(), handleAccepted, &listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog, reinterpret_cast<sockaddr*>(&address),
        sizeof address);
    return listener.handle;
}

void RelayProcess::handleAccepted(evconnlistener*, int descriptor, sockaddr* address, int, void* context)
{
    auto& listener = *static_cast<Listener*>(context);
    listener.process->addLink(descriptor, toText(address), listener.route);
}

void RelayProcess::addLink(int descriptor, const std::string& source, const RelayRoute& route)
{
    auto onClosed = [this](RelayLink& link) { this->links.erase(&link); };
    auto link = std::make_unique<RelayLink>(this->loop.base(), descriptor, source, route, onClosed);
    auto action = this->actionFor(source, route.targetAddress);
    if (action == RelayAction::Reset) {
        link->resetBoth();
        return;
    }
    auto& added = *link;
    this->links.emplace(&added, std::move(link));
    added.apply(action);
}

RelayAction RelayProcess::actionFor(const std::string& source, const std::string& destination) const
{
    for (const auto& rule : this->rules) {
        if (rule.matches(source, destination))
            return rule.action;
    }
    return RelayAction::Pass;
}

void RelayProcess::applyRules()
{
    std::vector<RelayLink*> all;
    for (const auto& [link, owner] : this->links)
        all.push_back(link);
    for (auto* link : all) {
        auto action = this->actionFor(link->source(), link->destination());
        if (action == RelayAction::Reset) {
            link->resetBoth();
            this->links.erase(link);
        } else
            link->apply(action);
    }
}

void RelayProcess::handleControl(evhttp_request* request)
{
    if (HttpReplies::path(request) == "/control/state") {
        Json::Value json;
        json["links"] = Json::UInt64(this->links.size());
        HttpReplies::json(request, json);
        return;
    }
    HttpReplies::applySettings(request, [this](const Json::Value& settings) { this->applyControl(settings); });
}

void RelayProcess::applyControl(const Json::Value& settings)
{
    if (settings.isMember("rules")) {
        std::vector<RelayRule> replaced;
        for (const auto& rule : settings["rules"])
            replaced.push_back(toRule(rule));
        this->rules = std::move(replaced);
        this->applyRules();
    }
    if (!settings.isMember("silence"))
        return;
    RelayRule rule { settings["silence"]["source"].asString(), settings["silence"]["destination"].asString() };
    for (const auto& [link, owner] : this->links) {
        if (rule.matches(link->source(), link->destination()))
            link->freezePermanently();
    }
}

} // namespace Greengage
