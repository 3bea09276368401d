#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Greengage {

class Site;

/// The number of calls that the store has received, by kind.
class StoreCalls {
public:
    static StoreCalls read(Site&);

    /// The calls received after `earlier` was read.
    StoreCalls since(const StoreCalls& earlier) const;

    std::uint64_t writes() const;
    std::uint64_t count(const std::string& kind) const;
    /// All calls that are not writes, including answered watches.
    std::uint64_t reads() const;

    /// All kinds as "kind=count", separated by spaces.
    std::string describe() const;

private:
    std::map<std::string, std::uint64_t> counts;
};

} // namespace Greengage
