#include <config/ini/IniFile.h>

#include <algorithm>
#include <string>

namespace Greengage {

IniSection IniFile::sectionOrEmpty(std::string_view name) const
{
    auto found = std::ranges::find(this->sections, name, &IniSection::header);
    return found == this->sections.end() ? IniSection { std::string(name), 0, {} } : *found;
}

} // namespace Greengage
