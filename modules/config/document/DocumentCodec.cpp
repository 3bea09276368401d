#include <config/document/DocumentCodec.h>

#include <config/json/JsonText.h>

#include <initializer_list>

namespace Greengage {

namespace {

bool hasExactMembers(const Json::Value& object, std::initializer_list<const char*> members)
{
    if (!object.isObject() || object.size() != members.size())
        return false;
    for (const auto* member : members) {
        if (!object.isMember(member))
            return false;
    }
    return true;
}

Json::Value changeToJson(const ChangeSummary& change)
{
    Json::Value json(Json::objectValue);
    json["revision"] = Json::UInt64(change.revision);
    json["changeId"] = change.changeId;
    json["author"] = change.author;
    json["acceptedAtUnixMilliseconds"] = Json::Int64(change.acceptedAtUnixMilliseconds);
    json["sections"] = Json::Value(Json::arrayValue);
    for (const auto& section : change.sections)
        json["sections"].append(section);
    return json;
}

Result<ChangeSummary, CodecError> changeFromJson(const Json::Value& json)
{
    if (!hasExactMembers(json, { "revision", "changeId", "author", "acceptedAtUnixMilliseconds", "sections" }))
        return CodecError {
            "a change must have exactly the members revision, changeId, author, acceptedAtUnixMilliseconds and sections"
        };
    if (!json["revision"].isUInt64() || !json["acceptedAtUnixMilliseconds"].isInt64())
        return CodecError { "a change's revision and acceptedAtUnixMilliseconds must be whole numbers" };
    if (!json["changeId"].isString() || !json["author"].isString() || !json["sections"].isArray())
        return CodecError { "a change's changeId and author must be strings, and its sections an array" };
    ChangeSummary change;
    change.revision = json["revision"].asUInt64();
    change.changeId = json["changeId"].asString();
    change.author = json["author"].asString();
    change.acceptedAtUnixMilliseconds = json["acceptedAtUnixMilliseconds"].asInt64();
    for (const auto& section : json["sections"]) {
        if (!section.isString())
            return CodecError { "the entries of a change's sections must be strings" };
        change.sections.push_back(section.asString());
    }
    return change;
}

} // namespace

std::string DocumentCodec::encode(const DocumentRecord& record) { return writeJson(DocumentCodec::toJson(record)); }

Json::Value DocumentCodec::toJson(const DocumentRecord& record)
{
    Json::Value json(Json::objectValue);
    json["revision"] = Json::UInt64(record.revision);
    json["changes"] = Json::Value(Json::arrayValue);
    for (const auto& change : record.changes)
        json["changes"].append(changeToJson(change));
    json["text"] = record.text;
    return json;
}

Result<DocumentRecord, CodecError> DocumentCodec::decode(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    return DocumentCodec::fromJson(json);
}

Result<DocumentRecord, CodecError> DocumentCodec::fromJson(const Json::Value& json)
{
    if (!hasExactMembers(json, { "revision", "changes", "text" }))
        return CodecError { "a document record must have exactly the members revision, changes and text" };
    if (!json["revision"].isUInt64() || !json["changes"].isArray() || !json["text"].isString())
        return CodecError {
            "a document record's revision must be a whole number, its changes an array and its text a string"
        };
    DocumentRecord record;
    record.revision = json["revision"].asUInt64();
    record.text = json["text"].asString();
    for (const auto& entry : json["changes"]) {
        BOOST_OUTCOME_TRY(change, changeFromJson(entry));
        record.changes.push_back(std::move(change));
    }
    if (!record.changes.empty() && record.changes.front().revision != record.revision)
        return CodecError { "the first of a document record's changes must have the record's own revision" };
    return record;
}

} // namespace Greengage
