#include <config/ini/SettingsText.h>

#include <fstream>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace Greengage {

namespace {

ConfigErrors fileError(std::string message) { return { { { {}, {}, 0, std::move(message) } } }; }

} // namespace

Result<std::string, ConfigErrors> readSettingsText(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream || stream.peek() == std::ifstream::traits_type::eof())
        return fileError("the file cannot be read or is empty; expected the name of a settings file");
    std::string text(maxSettingsBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > maxSettingsBytes)
        return fileError(fmt::format("the file is larger than {} bytes", maxSettingsBytes));
    return text;
}

} // namespace Greengage
