#pragma once

#include <config/errors/ConfigError.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// All errors found in a text.
struct ConfigErrors {
    std::vector<ConfigError> list;

    bool isEmpty() const { return this->list.empty(); }

    /// Sorts the errors by line; errors on the same line keep their order.
    void sortByLine();

    /// Formats each error as "<file>:<line>: [<section>] <key>: <message>" followed by a newline. Parts that an error
    /// lacks are left out.
    std::string describe(std::string_view file) const;
};

} // namespace Greengage
