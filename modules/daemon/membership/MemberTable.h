#pragma once

#include <core/text/Identifier.h>
#include <daemon/membership/MemberRecord.h>

#include <map>
#include <string>

namespace Greengage {

struct StoreEntry;

/// The daemons that hold a lease, as the store tells. In an outage of the store it stays as last read.
class MemberTable {
public:
    static constexpr const char* prefix = "members/";

    /// Takes a member's key. Returns whether the table has changed.
    bool take(const StoreEntry&);

    const std::map<std::string, MemberRecord>& members() const { return this->byKey; }

private:
    std::map<std::string, MemberRecord> byKey;
};

} // namespace Greengage
