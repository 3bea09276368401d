#pragma once

#include <string>

namespace Greengage {

/// A label of a time series, such as queue="quotes".
struct Label {
    std::string name;
    std::string value;

    friend auto operator<=>(const Label&, const Label&) = default;
    friend bool operator==(const Label&, const Label&) = default;
};

} // namespace Greengage
