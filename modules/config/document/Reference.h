#pragma once

#include <string>

namespace Greengage {

/// A place in the document that names a section.
struct Reference {
    /// Header of the section that is named, such as "pool washing".
    std::string target;
    /// Header of the section that names it.
    std::string section;
    std::string key;
    int line = 0;
};

} // namespace Greengage
