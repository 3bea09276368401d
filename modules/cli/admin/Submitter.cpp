#include <cli/admin/Submitter.h>

#include <cli/admin/AdminClient.h>
#include <cli/commands/CommandErrors.h>
#include <config/admin/AdminCodec.h>

#include <optional>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int conflictStatus = 409;
constexpr int faultyStatus = 422;
constexpr int unavailableStatus = 503;
constexpr std::string_view notAccepted = "\"not_accepted\"";

CommandError explainConflicts(const std::string& body, std::uint64_t baseRevision)
{
    auto conflicts = AdminCodec::decodeConflicts(body);
    if (conflicts.has_error())
        return { ExitCode::Conflict, "the daemon reports a conflict: " + body, body };
    std::string message;
    for (const auto& conflict : conflicts.value().list) {
        auto who = conflict.changedBy.empty() ? "others" : conflict.changedBy;
        message += fmt::format("[{}] was changed by {} in revision {}, after revision {} that your text is based on\n",
            conflict.section, who, conflict.revision, baseRevision);
    }
    message += "nothing was applied; get the newest text with \"show\" and edit these sections again";
    return { ExitCode::Conflict, message, body };
}

CommandError explainFaults(const std::string& body)
{
    auto errors = AdminCodec::decodeErrors(body);
    if (errors.has_error())
        return { ExitCode::Faulty, "the daemon refuses the document: " + body, body };
    return { ExitCode::Faulty, "nothing was applied: " + describeFaults("document", errors.value()), body };
}

/// The refusal of a submission, or nothing if another attempt may help.
std::optional<CommandError> explainRefusal(const AdminError& error, std::uint64_t baseRevision)
{
    if (error.code == AdminErrorCode::NotAuthorised)
        return toCommandError(error);
    if (error.code != AdminErrorCode::Refused || error.status == unavailableStatus)
        return std::nullopt;
    if (error.status == conflictStatus)
        return explainConflicts(error.body, baseRevision);
    if (error.status == faultyStatus)
        return explainFaults(error.body);
    return toCommandError(error);
}

bool mayHaveTakenEffect(const AdminError& error)
{
    if (error.code == AdminErrorCode::Refused)
        return error.body.find(notAccepted) == std::string::npos;
    return error.code != AdminErrorCode::Unreachable;
}

} // namespace

Submitter::Submitter(AdminClient& client, Deadline deadline)
    : client(client)
    , deadline(deadline)
{
}

bool Submitter::isLate() const { return this->deadline.hasPassed(BootClock().current()); }

Result<ApplyAnswer, CommandError> Submitter::submit(const DocumentSubmission& submission)
{
    auto body = AdminCodec::encodeSubmission(submission);
    while (true) {
        auto answer = this->client.submitToNext("/v1/document", body);
        if (answer.has_value()) {
            auto decoded = AdminCodec::decodeAnswer(answer.value().body);
            if (decoded.has_error())
                return CommandError { ExitCode::Unknown, "the daemon's answer: " + decoded.error().message, {} };
            return std::move(decoded.value());
        }
        if (auto refusal = explainRefusal(answer.error(), submission.baseRevision))
            return std::move(*refusal);
        this->mayBeMade = this->mayBeMade || mayHaveTakenEffect(answer.error());
        this->lastFailure = answer.error().detail;
        this->unreachable = answer.error().code == AdminErrorCode::Unreachable ? this->unreachable + 1 : 0;
        auto noneReachable = !this->mayBeMade && this->unreachable >= this->client.daemons().size();
        if (noneReachable || this->isLate())
            return this->giveUp();
        this->client.pause(Submitter::retryPause);
    }
}

ApplyAnswer Submitter::waitUntilInForce(ApplyAnswer answer)
{
    while (!answer.inForce && !this->isLate()) {
        this->client.pause(Submitter::retryPause);
        auto status = this->client.readStatus();
        if (status.has_error())
            continue;
        answer.inForce = status.value().inForceRevision >= answer.revision;
        answer.behind.clear();
        for (const auto& daemon : status.value().daemons) {
            if (daemon.revision < answer.revision)
                answer.behind.push_back(daemon.daemon.string());
        }
    }
    return answer;
}

CommandError Submitter::giveUp() const
{
    if (this->mayBeMade) {
        return { ExitCode::Unknown,
            "the answer was lost and no daemon could settle it in time; \"history\" tells later whether the change was "
            "made ("
                + this->lastFailure + ")",
            {} };
    }
    return { ExitCode::NotAccepted, "no daemon could take the change; nothing was applied (" + this->lastFailure + ")",
        {} };
}

} // namespace Greengage
