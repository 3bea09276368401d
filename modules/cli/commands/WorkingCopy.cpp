#include <cli/commands/WorkingCopy.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr std::string_view revisionLinePrefix = "; greengagegap revision ";

std::string joinNames(const std::set<std::string>& names)
{
    std::string joined;
    for (const auto& name : names)
        joined += (joined.empty() ? "" : ", ") + name;
    return joined;
}

} // namespace

WorkingCopy WorkingCopy::parse(std::string_view content)
{
    WorkingCopy copy;
    copy.text = content;
    if (!content.starts_with(revisionLinePrefix))
        return copy;
    auto lineEnd = std::min(content.find('\n'), content.size());
    auto number = content.substr(revisionLinePrefix.size(), lineEnd - revisionLinePrefix.size());
    std::uint64_t revision = 0;
    auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), revision);
    if (error != std::errc())
        return copy;
    copy.baseRevision = revision;
    copy.hasRevisionLine = true;
    copy.text = content.substr(std::min(lineEnd + 1, content.size()));
    return copy;
}

std::string WorkingCopy::revisionLine(std::uint64_t revision, const StatusReport& status)
{
    std::set<std::string> upToDate;
    std::set<std::string> behind;
    for (const auto& daemon : status.daemons)
        (daemon.revision >= revision ? upToDate : behind).insert(daemon.daemon.string());
    auto line = fmt::format(
        "{}{}; on {}", revisionLinePrefix, revision, upToDate.empty() ? "no daemon yet" : joinNames(upToDate));
    if (!behind.empty())
        line += "; not yet on " + joinNames(behind);
    return line + (status.inForceRevision >= revision ? "; in force everywhere\n" : "; not in force everywhere\n");
}

std::string WorkingCopy::olderRevisionLine(std::uint64_t revision, std::uint64_t newest)
{
    return fmt::format("{}{}; replaced, the newest is {}\n", revisionLinePrefix, revision, newest);
}

} // namespace Greengage
