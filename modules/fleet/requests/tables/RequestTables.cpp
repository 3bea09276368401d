#include <fleet/requests/tables/RequestTables.h>

#include <algorithm>

namespace Greengage {

const Queue* RequestTables::findQueue(const QueueId& name) const
{
    if (!this->document)
        return nullptr;
    const auto& queues = this->document->queues;
    auto found = std::find_if(queues.begin(), queues.end(), [&](const Queue& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const Team* RequestTables::findTeam(const TeamId& name) const
{
    if (!this->document)
        return nullptr;
    const auto& teams = this->document->teams;
    auto found = std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
    return found == teams.end() ? nullptr : &*found;
}

int RequestTables::runningOf(const TeamId& team) const
{
    int running = 0;
    for (const auto& [key, line] : this->lines) {
        if (key.team == team)
            running += line.running;
    }
    return running;
}

} // namespace Greengage
