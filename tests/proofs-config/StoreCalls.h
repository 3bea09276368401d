#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Greengage {

class Site;

/// How many calls the store has had, by kind.
class StoreCalls {
public:
    static StoreCalls read(Site&);

    /// The calls that came after an earlier reading.
    StoreCalls since(const StoreCalls& earlier) const;

    std::uint64_t writes() const;
    std::uint64_t count(const std::string& kind) const;
    /// Everything that is not a write, an answered watch included.
    std::uint64_t reads() const;

    /// All kinds, "kind=count" each.
    std::string describe() const;

private:
    std::map<std::string, std::uint64_t> counts;
};

} // namespace Greengage
