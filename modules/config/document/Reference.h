#pragma once

#include <string>

namespace Greengage {

/// A reference from a key of one section to another section, with its location in the document.
struct Reference {
    /// Header of the section that is referred to, such as "pool washing".
    std::string target;
    /// Header of the section that contains the reference.
    std::string section;
    std::string key;
    int line = 0;
};

} // namespace Greengage
