#include <fleet/requests/tables/RequestTables.h>

#include <algorithm>

namespace Greengage {

void RequestTables::apply(std::shared_ptr<const Document> newer)
{
    this->document = std::move(newer);
    this->queues.clear();
    for (const auto& queue : this->document->queues)
        this->queues.emplace(queue.name, &queue);
    this->teams.clear();
    for (const auto& team : this->document->teams)
        this->teams.emplace(team.name, &team);
    this->keys = KeyVerifier(*this->document);
}

const Queue* RequestTables::findQueue(const QueueId& name) const
{
    auto found = this->queues.find(name);
    return found == this->queues.end() ? nullptr : found->second;
}

const Team* RequestTables::findTeam(const TeamId& name) const
{
    auto found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : found->second;
}

TeamUsage RequestTables::usageOf(const TeamId& team) const
{
    auto found = this->usage.find(team);
    return found == this->usage.end() ? TeamUsage {} : found->second;
}

bool RequestTables::hasWaitingRequests() const
{
    return std::any_of(
        this->usage.begin(), this->usage.end(), [](const auto& entry) { return entry.second.waiting > 0; });
}

} // namespace Greengage
