#include <cli/commands/CommandErrors.h>

#include <cli/admin/AdminError.h>
#include <config/errors/ConfigErrors.h>
#include <config/ini/IniLine.h>

#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int unavailableStatus = 503;
constexpr std::string_view unknownOutcome = "\"unknown\"";

CommandError explainRefusal(const AdminError& error)
{
    std::string body(trimWhitespace(error.body));
    auto message = error.detail + (body.empty() ? "" : ": " + body);
    if (error.status != unavailableStatus)
        return { ExitCode::Refused, message, error.body };
    if (error.body.find(unknownOutcome) != std::string::npos)
        return { ExitCode::Unknown, message + "; run \"status\" later to see whether it took effect", error.body };
    return { ExitCode::NotAccepted, message, error.body };
}

} // namespace

std::string describeErrors(const std::string& file, const ConfigErrors& errors)
{
    auto text
        = fmt::format("{} fault{}\n", errors.list.size(), errors.list.size() == 1 ? "" : "s") + errors.describe(file);
    text.pop_back();
    return text;
}

CommandError toCommandError(const AdminError& error)
{
    switch (error.code) {
    case AdminErrorCode::Unreachable:
        return { ExitCode::NotAccepted, "no daemon can be reached (" + error.detail + ")", {} };
    case AdminErrorCode::AnswerLost:
        return { ExitCode::Unknown,
            "the answer was lost (" + error.detail + "); run \"status\" to see whether the command took effect", {} };
    case AdminErrorCode::NotAuthorised:
        return { ExitCode::NotAuthorised,
            "the operators' key was refused (" + error.detail + "); check the key given by --key-file or GREENGAGE_KEY",
            error.body };
    case AdminErrorCode::Malformed:
        return { ExitCode::Refused, "the daemon's answer could not be decoded: " + error.detail, {} };
    case AdminErrorCode::Refused:
        break;
    }
    return explainRefusal(error);
}

} // namespace Greengage
