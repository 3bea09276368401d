#include <config/acceptance/DocumentAcceptance.h>

#include <config/document/DocumentCodec.h>
#include <config/document/DocumentParser.h>
#include <config/json/Utf8.h>
#include <config/merge/SectionMerge.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

ConfigErrors singleError(std::string message) { return { { { {}, {}, 0, std::move(message) } } }; }

bool isValidChangeId(std::string_view text)
{
    auto isIdCharacter = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_';
    };
    return !text.empty() && text.size() <= DocumentAcceptance::maxIdBytes && std::ranges::all_of(text, isIdCharacter);
}

bool isValidAuthor(std::string_view text)
{
    auto isControl = [](unsigned char character) { return character < ' ' || character == 0x7f; };
    return !text.empty() && text.size() <= DocumentAcceptance::maxIdBytes && std::ranges::none_of(text, isControl)
        && isBmpUtf8(text);
}

ConfigErrors checkSubmission(const DocumentRecord& current, const DocumentSubmission& submission)
{
    ConfigErrors errors;
    if (!isValidChangeId(submission.changeId))
        errors.list.push_back({ {}, {}, 0, "the change id must be 1 to 64 letters, digits, '-' or '_'" });
    if (!isValidAuthor(submission.author))
        errors.list.push_back({ {}, {}, 0, "the author must be 1 to 64 bytes of printable text" });
    if (submission.baseRevision > current.revision) {
        errors.list.push_back({ {}, {}, 0,
            fmt::format(
                "the text is based on revision {}, but the newest revision is {}; get the newest text with \"show\"",
                submission.baseRevision, current.revision) });
    }
    auto parsed = DocumentParser().parse(submission.text);
    if (parsed.has_error())
        std::ranges::move(parsed.error().list, std::back_inserter(errors.list));
    return errors;
}

const ChangeSummary* findChange(const DocumentRecord& record, std::string_view changeId)
{
    auto found = std::ranges::find(record.changes, changeId, &ChangeSummary::changeId);
    return found == record.changes.end() ? nullptr : &*found;
}

bool isBaseRetained(const DocumentRecord& current, std::uint64_t revision)
{
    return revision == 0 || revision == current.revision
        || std::ranges::find(current.changes, revision, &ChangeSummary::revision) != current.changes.end();
}

SectionConflicts describeConflicts(
    const DocumentRecord& current, std::uint64_t baseRevision, const std::vector<std::string>& sections)
{
    SectionConflicts conflicts;
    for (const auto& section : sections) {
        auto changesSection = [&](const ChangeSummary& change) {
            return change.revision > baseRevision
                && std::ranges::find(change.sections, section) != change.sections.end();
        };
        auto change = std::ranges::find_if(current.changes, changesSection);
        if (change == current.changes.end())
            conflicts.list.push_back({ section, {}, 0 });
        else
            conflicts.list.push_back({ section, change->author, change->revision });
    }
    return conflicts;
}

/// Drops the oldest changes until the record is within both limits, but keeps at least `minChanges`.
void dropOldChanges(DocumentRecord& record)
{
    if (record.changes.size() > DocumentAcceptance::maxChanges)
        record.changes.resize(DocumentAcceptance::maxChanges);
    while (record.changes.size() > DocumentAcceptance::minChanges
        && DocumentCodec::encode(record).size() > DocumentAcceptance::maxRecordBytes)
        record.changes.pop_back();
}

AcceptanceOutcome acceptText(const DocumentRecord& current, const DocumentSubmission& submission, std::string text,
    std::int64_t nowUnixMilliseconds)
{
    AcceptedChange accepted;
    auto& record = accepted.record;
    record.revision = current.revision + 1;
    record.changes.push_back({ record.revision, submission.changeId, submission.author, nowUnixMilliseconds,
        changedSections(current.text, text) });
    std::ranges::copy(current.changes, std::back_inserter(record.changes));
    record.text = std::move(text);
    dropOldChanges(record);
    auto bytes = DocumentCodec::encode(record).size();
    if (bytes > DocumentAcceptance::maxRecordBytes) {
        return singleError(
            fmt::format("the document with its newest changes takes {} bytes in the store, but at most {} are "
                        "allowed; shorten the document",
                bytes, DocumentAcceptance::maxRecordBytes));
    }
    return accepted;
}

ConfigErrors explainMergeErrors(ConfigErrors errors, std::uint64_t revision)
{
    for (auto& error : errors.list)
        error.message = fmt::format(
            "after merging with revision {}, which others submitted meanwhile: {}", revision, error.message);
    return errors;
}

} // namespace

std::optional<std::string> DocumentAcceptance::baseChange(
    const DocumentRecord& current, const DocumentSubmission& submission)
{
    if (submission.baseRevision == current.revision)
        return std::nullopt;
    auto found = std::ranges::find(current.changes, submission.baseRevision, &ChangeSummary::revision);
    if (found == current.changes.end())
        return std::nullopt;
    return found->changeId;
}

AcceptanceOutcome DocumentAcceptance::evaluate(const DocumentRecord& current, std::string_view baseText,
    const DocumentSubmission& submission, std::int64_t nowUnixMilliseconds)
{
    if (const auto* earlier = findChange(current, submission.changeId))
        return AlreadyInForce { earlier->revision };
    auto errors = checkSubmission(current, submission);
    if (!errors.isEmpty())
        return errors;
    if (!isBaseRetained(current, submission.baseRevision)) {
        return singleError(
            fmt::format("the text is based on revision {}, which is older than the changes that are kept; "
                        "get the newest text with \"show\" and edit that",
                submission.baseRevision));
    }
    if (submission.baseRevision == current.revision)
        baseText = current.text;
    else if (submission.baseRevision == 0)
        baseText = {};
    auto merge = SectionMerge::merge(baseText, submission.text, current.text);
    if (!merge.conflicts.empty())
        return describeConflicts(current, submission.baseRevision, merge.conflicts);
    if (merge.text == current.text)
        return AlreadyInForce { current.revision };
    auto merged = DocumentParser().parse(merge.text);
    if (merged.has_error())
        return explainMergeErrors(std::move(merged.error()), current.revision);
    return acceptText(current, submission, std::move(merge.text), nowUnixMilliseconds);
}

} // namespace Greengage
