#include <config/admin/AdminCodec.h>

#include <config/json/JsonText.h>
#include <config/json/MemberReader.h>

namespace Greengage {

namespace {

/// Returns the decoded value, or the error if decoding it failed.
template <typename Value> Result<Value, CodecError> valueOrError(Value value, const CodecError& error)
{
    if (!error.message.empty())
        return error;
    return value;
}

} // namespace

std::string AdminCodec::encodeSubmission(const DocumentSubmission& submission)
{
    Json::Value json(Json::objectValue);
    json["changeId"] = submission.changeId;
    json["author"] = submission.author;
    json["baseRevision"] = Json::UInt64(submission.baseRevision);
    json["text"] = submission.text;
    return writeJson(json);
}

Result<DocumentSubmission, CodecError> AdminCodec::decodeSubmission(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    CodecError error;
    MemberReader reader(json, error);
    DocumentSubmission submission { reader.string("changeId"), reader.string("author"), reader.uint64("baseRevision"),
        reader.string("text") };
    if (error.message.empty() && json.size() != 4)
        return CodecError {
            "a submission must have the members changeId, author, baseRevision and text, and no others"
        };
    return valueOrError(std::move(submission), error);
}

std::string AdminCodec::encodeAnswer(const ApplyAnswer& answer)
{
    Json::Value json(Json::objectValue);
    json["revision"] = Json::UInt64(answer.revision);
    json["inForce"] = answer.inForce;
    json["behind"] = Json::Value(Json::arrayValue);
    for (const auto& daemon : answer.behind)
        json["behind"].append(daemon);
    return writeJson(json);
}

Result<ApplyAnswer, CodecError> AdminCodec::decodeAnswer(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    CodecError error;
    MemberReader reader(json, error);
    ApplyAnswer answer { reader.uint64("revision"), reader.boolean("inForce"), reader.strings("behind") };
    return valueOrError(std::move(answer), error);
}

std::string AdminCodec::encodeConflicts(const SectionConflicts& conflicts)
{
    Json::Value json(Json::objectValue);
    json["conflicts"] = Json::Value(Json::arrayValue);
    for (const auto& conflict : conflicts.list) {
        Json::Value entry(Json::objectValue);
        entry["section"] = conflict.section;
        entry["changedBy"] = conflict.changedBy;
        entry["revision"] = Json::UInt64(conflict.revision);
        json["conflicts"].append(entry);
    }
    return writeJson(json);
}

Result<SectionConflicts, CodecError> AdminCodec::decodeConflicts(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    CodecError error;
    MemberReader reader(json, error);
    SectionConflicts conflicts;
    for (const auto& entry : reader.list("conflicts")) {
        auto nested = reader.nested(entry);
        conflicts.list.push_back({ nested.string("section"), nested.string("changedBy"), nested.uint64("revision") });
    }
    return valueOrError(std::move(conflicts), error);
}

std::string AdminCodec::encodeErrors(const ConfigErrors& errors)
{
    Json::Value json(Json::objectValue);
    json["errors"] = Json::Value(Json::arrayValue);
    for (const auto& error : errors.list) {
        Json::Value entry(Json::objectValue);
        entry["section"] = error.section;
        entry["key"] = error.key;
        entry["line"] = error.line;
        entry["message"] = error.message;
        json["errors"].append(entry);
    }
    return writeJson(json);
}

Result<ConfigErrors, CodecError> AdminCodec::decodeErrors(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    CodecError error;
    MemberReader reader(json, error);
    ConfigErrors errors;
    for (const auto& entry : reader.list("errors")) {
        auto nested = reader.nested(entry);
        errors.list.push_back(
            { nested.string("section"), nested.string("key"), nested.integer("line"), nested.string("message") });
    }
    return valueOrError(std::move(errors), error);
}

} // namespace Greengage
