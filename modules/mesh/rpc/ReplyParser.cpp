#include <mesh/rpc/ReplyParser.h>

#include <config/json/JsonText.h>

namespace Greengage {

namespace {

MeshError malformed(const char* detail) { return { MeshErrorCode::Malformed, detail }; }

} // namespace

Result<RpcReply, MeshError> parseReply(const std::string& line)
{
    auto parsed = parseJson(line);
    if (!parsed.has_value())
        return MeshError { MeshErrorCode::Malformed, parsed.error().message };
    const Json::Value& batch = parsed.value();
    if (!batch.isArray() || batch.size() != 1 || !batch[0].isObject())
        return malformed("the answer is not a batch of one object");
    const Json::Value& reply = batch[0];
    if (reply["result"].isObject() && reply["result"]["call"].isInt64())
        return RpcReply { reply["result"]["call"].asInt64(), reply["result"]["value"] };
    const Json::Value& error = reply["error"];
    if (!error.isObject() || !error["data"].isObject() || !error["data"]["call"].isInt64())
        return malformed("the answer carries no call id");
    std::string message
        = error["message"].isString() ? error["message"].asString() : "the peer sent an error without a message";
    return RpcReply { error["data"]["call"].asInt64(), MeshError { MeshErrorCode::Refused, message } };
}

} // namespace Greengage
