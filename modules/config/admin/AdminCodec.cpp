#include <config/admin/AdminCodec.h>

#include <config/json/JsonText.h>

namespace Greengage {

namespace {

bool isListOfObjects(const Json::Value& json, const char* member)
{
    if (!json.isObject() || !json[member].isArray())
        return false;
    for (const auto& entry : json[member]) {
        if (!entry.isObject())
            return false;
    }
    return true;
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
    if (!json.isObject() || json.size() != 4 || !json["changeId"].isString() || !json["author"].isString()
        || !json["baseRevision"].isUInt64() || !json["text"].isString())
        return CodecError { "a submission has the strings changeId, author and text and the number baseRevision" };
    return DocumentSubmission { json["changeId"].asString(), json["author"].asString(), json["baseRevision"].asUInt64(),
        json["text"].asString() };
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
    if (!isListOfObjects(json, "conflicts"))
        return CodecError { "a list of conflicts is expected" };
    SectionConflicts conflicts;
    for (const auto& entry : json["conflicts"]) {
        if (!entry["section"].isString() || !entry["changedBy"].isString() || !entry["revision"].isUInt64())
            return CodecError { "a conflict has the strings section and changedBy and the number revision" };
        conflicts.list.push_back(
            { entry["section"].asString(), entry["changedBy"].asString(), entry["revision"].asUInt64() });
    }
    return conflicts;
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
    if (!isListOfObjects(json, "errors"))
        return CodecError { "a list of errors is expected" };
    ConfigErrors errors;
    for (const auto& entry : json["errors"]) {
        if (!entry["section"].isString() || !entry["key"].isString() || !entry["line"].isInt()
            || !entry["message"].isString())
            return CodecError { "an error has the strings section, key and message and the number line" };
        errors.list.push_back({ entry["section"].asString(), entry["key"].asString(), entry["line"].asInt(),
            entry["message"].asString() });
    }
    return errors;
}

} // namespace Greengage
