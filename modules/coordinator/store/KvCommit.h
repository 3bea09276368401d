#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// A group of writes that is done as a whole, if every expected revision holds, or not at all.
struct KvCommit {
    /// The most expectations, puts and removals together in one commit; the store takes no more.
    static constexpr std::size_t maxRows = 32;

    /// Key and revision; revision 0 expects that the key does not exist.
    std::vector<std::pair<std::string, std::int64_t>> expected;
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::string> removals;

    std::size_t rows() const { return this->expected.size() + this->puts.size() + this->removals.size(); }
};

} // namespace Greengage
