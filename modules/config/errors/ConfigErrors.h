#pragma once

#include <config/errors/ConfigError.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Everything that is wrong with a text, in the order of its lines.
struct ConfigErrors {
    std::vector<ConfigError> list;

    bool isEmpty() const { return this->list.empty(); }

    /// Sorts the errors by line; errors of one line keep their order.
    void sortByLine();

    /// One line for each error, "<file>:<line>: [<section>] <key>: <message>", each ended by a newline.
    std::string describe(std::string_view file) const;
};

} // namespace Greengage
