#include <daemon/membership/MemberCodec.h>

#include <config/json/JsonText.h>
#include <config/json/MemberReader.h>

#include <limits>

namespace Greengage {

std::string MemberCodec::encode(const MemberRecord& record)
{
    Json::Value value(Json::objectValue);
    value["daemon"] = record.daemon.string();
    value["incarnation"] = record.incarnation.string();
    value["zone"] = record.zone.string();
    value["address"] = record.mesh.address;
    value["meshPort"] = record.mesh.port;
    value["adminPort"] = record.adminPort;
    return writeJson(value);
}

Result<MemberRecord, CodecError> MemberCodec::decode(const std::string& text)
{
    BOOST_OUTCOME_TRY(value, parseJson(text));
    CodecError error;
    MemberReader reader(value, error);
    MemberRecord record;
    record.daemon = DaemonId(reader.string("daemon"));
    record.incarnation = IncarnationId(reader.string("incarnation"));
    record.zone = ZoneId(reader.string("zone"));
    record.mesh.address = reader.string("address");
    int meshPort = reader.integer("meshPort");
    int adminPort = reader.integer("adminPort");
    if (!error.message.empty())
        return error;
    constexpr int maxPort = std::numeric_limits<std::uint16_t>::max();
    if (meshPort < 1 || meshPort > maxPort || adminPort < 0 || adminPort > maxPort)
        return CodecError { "meshPort or adminPort is out of range" };
    record.mesh.port = static_cast<std::uint16_t>(meshPort);
    record.adminPort = static_cast<std::uint16_t>(adminPort);
    return record;
}

} // namespace Greengage
