#include <daemon/membership/MemberTable.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <daemon/membership/MemberCodec.h>
#include <store/store/StoreEntry.h>

namespace Greengage {

bool MemberTable::apply(const StoreEntry& entry)
{
    auto found = this->byKey.find(entry.key);
    if (entry.version == 0) {
        if (found == this->byKey.end())
            return false;
        writeLog(LogLevel::Info,
            LogLine("member_left")
                .add("daemon", found->second.daemon.string())
                .add("incarnation", found->second.incarnation.string()));
        this->byKey.erase(found);
        return true;
    }
    auto record = MemberCodec::decode(entry.value);
    if (!record.has_value()) {
        writeLog(
            LogLevel::Error, LogLine("member_malformed").add("key", entry.key).add("detail", record.error().message));
        return false;
    }
    if (found == this->byKey.end())
        writeLog(LogLevel::Info,
            LogLine("member_joined")
                .add("daemon", record.value().daemon.string())
                .add("incarnation", record.value().incarnation.string())
                .add("zone", record.value().zone.string()));
    this->byKey[entry.key] = record.value();
    return true;
}

} // namespace Greengage
