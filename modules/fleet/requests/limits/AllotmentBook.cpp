#include <fleet/requests/limits/AllotmentBook.h>

#include <config/json/JsonText.h>

#include <set>

namespace Greengage {

Result<AllotmentBook, AllotmentError> AllotmentBook::parse(std::string_view text)
{
    AllotmentBook book;
    if (text.empty())
        return book;
    auto parsed = parseJson(text);
    if (parsed.has_error())
        return AllotmentError { parsed.error().message };
    const auto& root = parsed.value();
    if (!root.isObject() || !root["teams"].isObject())
        return AllotmentError { "the member \"teams\" is missing or is not an object" };
    const auto& teams = root["teams"];
    for (const auto& team : teams.getMemberNames()) {
        if (!teams[team].isObject())
            return AllotmentError { "team " + team + " is not an object of incarnations and units" };
        for (const auto& incarnation : teams[team].getMemberNames()) {
            const auto& units = teams[team][incarnation];
            if (!units.isInt() || units.asInt() < 0)
                return AllotmentError { "team " + team + ": the units of incarnation " + incarnation
                    + " are not a non-negative integer" };
            book.assign(TeamId(team), IncarnationId(incarnation), units.asInt());
        }
    }
    return book;
}

std::string AllotmentBook::format() const
{
    Json::Value root;
    root["teams"] = Json::Value(Json::objectValue);
    for (const auto& [team, allotments] : this->units) {
        for (const auto& [incarnation, count] : allotments)
            root["teams"][team.string()][incarnation.string()] = count;
    }
    return writeJson(root);
}

int AllotmentBook::unitsOf(const TeamId& team, const IncarnationId& incarnation) const
{
    auto allotments = this->units.find(team);
    if (allotments == this->units.end())
        return 0;
    auto found = allotments->second.find(incarnation);
    return found == allotments->second.end() ? 0 : found->second;
}

int AllotmentBook::sumOf(const TeamId& team) const
{
    int sum = 0;
    auto allotments = this->units.find(team);
    if (allotments == this->units.end())
        return sum;
    for (const auto& [incarnation, count] : allotments->second)
        sum += count;
    return sum;
}

void AllotmentBook::assign(const TeamId& team, const IncarnationId& incarnation, int count)
{
    if (count > 0) {
        this->units[team][incarnation] = count;
        return;
    }
    auto allotments = this->units.find(team);
    if (allotments == this->units.end())
        return;
    allotments->second.erase(incarnation);
    if (allotments->second.empty())
        this->units.erase(allotments);
}

std::vector<TeamId> AllotmentBook::teamsOf(const IncarnationId& incarnation) const
{
    std::vector<TeamId> teams;
    for (const auto& [team, allotments] : this->units) {
        if (allotments.contains(incarnation))
            teams.push_back(team);
    }
    return teams;
}

std::vector<IncarnationId> AllotmentBook::incarnations() const
{
    std::set<IncarnationId> found;
    for (const auto& [team, allotments] : this->units) {
        for (const auto& [incarnation, count] : allotments)
            found.insert(incarnation);
    }
    return { found.begin(), found.end() };
}

} // namespace Greengage
