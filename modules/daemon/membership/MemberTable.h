#pragma once

#include <core/text/Identifier.h>
#include <daemon/membership/MemberRecord.h>

#include <map>
#include <string>

namespace Greengage {

struct StoreEntry;

/// The daemons registered in the store, each under a lease. While the store is unreachable, the table keeps its last
/// contents.
class MemberTable {
public:
    static constexpr const char* prefix = "members/";

    /// Applies a new, changed or deleted member key. Returns whether the table has changed.
    bool apply(const StoreEntry&);

    const std::map<std::string, MemberRecord>& members() const { return this->byKey; }

private:
    std::map<std::string, MemberRecord> byKey;
};

} // namespace Greengage
