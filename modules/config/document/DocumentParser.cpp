#include <config/document/DocumentParser.h>

#include <config/document/DocumentBuilder.h>
#include <config/ini/IniParser.h>

namespace Greengage {

Result<Document, ConfigErrors> DocumentParser::parse(std::string_view text, std::uint64_t revision) const
{
    auto file = IniParser().parse(text);
    DocumentBuilder builder;
    builder.errors = std::move(file.errors);
    for (const auto& section : file.sections)
        builder.add(section);
    builder.checkReferences();
    if (!builder.errors.isEmpty()) {
        builder.errors.sortByLine();
        return std::move(builder.errors);
    }
    builder.document.revision = revision;
    return std::move(builder.document);
}

} // namespace Greengage
