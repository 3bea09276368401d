#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Greengage {

/// A group of writes that is applied atomically if every expected revision holds, and not at all otherwise.
struct KvCommit {
    /// The most expectations, puts and removals together that the store accepts in one commit.
    static constexpr std::size_t maxRows = 32;

    /// Keys and their expected revisions; revision 0 expects that the key does not exist.
    std::vector<std::pair<std::string, std::int64_t>> expected;
    /// Keys and their new values.
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::string> removals;

    std::size_t rows() const { return this->expected.size() + this->puts.size() + this->removals.size(); }
};

} // namespace Greengage
