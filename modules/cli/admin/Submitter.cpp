#include <cli/admin/Submitter.h>

#include <cli/admin/AdminClient.h>
#include <cli/commands/CommandErrors.h>
#include <config/admin/AdminCodec.h>

#include <optional>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int conflictStatus = 409;
constexpr int invalidDocumentStatus = 422;
constexpr int unavailableStatus = 503;
constexpr std::string_view notAcceptedOutcome = "\"not_accepted\"";

CommandError explainConflicts(const std::string& body, std::uint64_t baseRevision)
{
    auto conflicts = AdminCodec::decodeConflicts(body);
    if (conflicts.has_error())
        return { ExitCode::Conflict,
            "the daemon reports a conflict, but its list of sections could not be decoded: " + body, body };
    std::string message;
    for (const auto& conflict : conflicts.value().list) {
        auto author = conflict.changedBy.empty() ? "others" : conflict.changedBy;
        message += fmt::format("[{}] was changed by {} in revision {}, after revision {} that your text is based on\n",
            conflict.section, author, conflict.revision, baseRevision);
    }
    message += "nothing was applied; get the newest text with \"show\" and edit these sections again";
    return { ExitCode::Conflict, message, body };
}

CommandError explainInvalidDocument(const std::string& body)
{
    auto errors = AdminCodec::decodeErrors(body);
    if (errors.has_error())
        return { ExitCode::InvalidDocument,
            "the daemon refuses the document, but its list of errors could not be decoded: " + body, body };
    return { ExitCode::InvalidDocument, "nothing was applied: " + describeErrors("document", errors.value()), body };
}

/// Returns the error that ends a submission, or nothing if it can be retried.
std::optional<CommandError> explainRefusal(const AdminError& error, std::uint64_t baseRevision)
{
    if (error.code == AdminErrorCode::NotAuthorised)
        return toCommandError(error);
    if (error.code != AdminErrorCode::Refused || error.status == unavailableStatus)
        return std::nullopt;
    if (error.status == conflictStatus)
        return explainConflicts(error.body, baseRevision);
    if (error.status == invalidDocumentStatus)
        return explainInvalidDocument(error.body);
    return toCommandError(error);
}

bool mayHaveTakenEffect(const AdminError& error)
{
    if (error.code == AdminErrorCode::Refused)
        return error.body.find(notAcceptedOutcome) == std::string::npos;
    return error.code != AdminErrorCode::Unreachable;
}

} // namespace

Submitter::Submitter(AdminClient& client, Deadline deadline)
    : client(client)
    , deadline(deadline)
{
}

bool Submitter::deadlineHasPassed() const { return this->deadline.hasPassed(BootClock().current()); }

Result<ApplyAnswer, CommandError> Submitter::submit(const DocumentSubmission& submission)
{
    auto body = AdminCodec::encodeSubmission(submission);
    while (true) {
        auto answer = this->client.postToCurrent("/v1/document", body);
        if (answer.has_value()) {
            auto decoded = AdminCodec::decodeAnswer(answer.value().body);
            if (decoded.has_error())
                return CommandError { ExitCode::Unknown,
                    "the daemon's answer could not be decoded: " + decoded.error().message, {} };
            return std::move(decoded.value());
        }
        if (auto refusal = explainRefusal(answer.error(), submission.baseRevision))
            return std::move(*refusal);
        this->mayHaveBeenAccepted = this->mayHaveBeenAccepted || mayHaveTakenEffect(answer.error());
        this->lastErrorDetail = answer.error().detail;
        this->consecutiveUnreachable
            = answer.error().code == AdminErrorCode::Unreachable ? this->consecutiveUnreachable + 1 : 0;
        auto noDaemonReachable
            = !this->mayHaveBeenAccepted && this->consecutiveUnreachable >= this->client.daemons().size();
        if (noDaemonReachable || this->deadlineHasPassed())
            return this->unfinishedError();
        this->client.waitFor(Submitter::retryDelay);
    }
}

ApplyAnswer Submitter::waitUntilInForce(ApplyAnswer answer)
{
    while (!answer.inForce && !this->deadlineHasPassed()) {
        this->client.waitFor(Submitter::retryDelay);
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

CommandError Submitter::unfinishedError() const
{
    if (this->mayHaveBeenAccepted) {
        return { ExitCode::Unknown,
            "the answer was lost and no daemon confirmed the change before the timeout; run \"history\" later to see "
            "whether it was made ("
                + this->lastErrorDetail + ")",
            {} };
    }
    return { ExitCode::NotAccepted,
        "no daemon accepted the change; nothing was applied (" + this->lastErrorDetail + ")", {} };
}

} // namespace Greengage
