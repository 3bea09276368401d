#include <config/settings/SettingsParser.h>

#include <config/ini/IniParser.h>
#include <config/ini/SectionReader.h>
#include <config/ini/SettingsText.h>

#include <algorithm>
#include <array>
#include <optional>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int maxPort = 65535;
constexpr int maxConnections = 1'000'000;
constexpr int minHeaderBytes = 1024;
constexpr int maxHeaderBytes = 1024 * 1024;
constexpr int minBodyBytes = 1024;
constexpr int maxBodyBytes = 64 * 1024 * 1024;
constexpr int minIdleTimeoutMilliseconds = 100;
constexpr int maxIdleTimeoutMilliseconds = 3'600'000;
constexpr std::size_t minSaltDigits = 16;
constexpr std::size_t maxSaltDigits = 128;
constexpr std::size_t digestDigits = 64;
constexpr std::array<std::string_view, 6> sectionNames { "daemon", "log", "callers", "admin", "mesh", "store" };

std::uint16_t readPort(SectionReader& reader, std::string_view key, std::optional<int> fallback = std::nullopt)
{
    return static_cast<std::uint16_t>(reader.integer(key, 1, maxPort, fallback));
}

void readDaemon(SectionReader& reader, DaemonSettings& settings)
{
    settings.name = reader.identifier<DaemonId>("name");
    settings.zone = reader.identifier<ZoneId>("zone");
    settings.address = reader.ipAddress("address");
}

void readLog(SectionReader& reader, DaemonSettings& settings)
{
    settings.logLevel = reader.choice<LogLevel>("level", settings.logLevel);
}

void readCallers(SectionReader& reader, DaemonSettings& settings)
{
    auto& callers = settings.callers;
    callers.port = readPort(reader, "port");
    callers.maxConnections = reader.integer("max_connections", 1, maxConnections, callers.maxConnections);
    callers.maxHeaderBytes = reader.integer("max_header_bytes", minHeaderBytes, maxHeaderBytes, callers.maxHeaderBytes);
    callers.maxBodyBytes = reader.integer("max_body_bytes", minBodyBytes, maxBodyBytes, callers.maxBodyBytes);
    callers.idleTimeoutMilliseconds = reader.integer(
        "idle_timeout_ms", minIdleTimeoutMilliseconds, maxIdleTimeoutMilliseconds, callers.idleTimeoutMilliseconds);
}

void readAdmin(SectionReader& reader, DaemonSettings& settings)
{
    settings.admin.port = readPort(reader, "port");
    settings.admin.keySalt = reader.hexDigits("key_salt", minSaltDigits, maxSaltDigits);
    settings.admin.keyDigest = reader.hexDigits("key_digest", digestDigits, digestDigits);
}

void readMesh(SectionReader& reader, DaemonSettings& settings)
{
    auto& mesh = settings.mesh;
    mesh.port = readPort(reader, "port");
    mesh.advertised.address = reader.ipAddress("advertised_address", settings.address);
    mesh.advertised.port = readPort(reader, "advertised_port", mesh.port);
    mesh.peers = reader.socketAddresses("peers");
}

void readStore(SectionReader& reader, DaemonSettings& settings)
{
    settings.store.address = reader.ipAddress("address");
    settings.store.port = readPort(reader, "port");
}

void checkSections(const IniFile& file, ConfigErrors& errors)
{
    for (auto section = file.sections.begin(); section != file.sections.end(); ++section) {
        auto report = [&](std::string message) {
            errors.list.push_back({ section->header, {}, section->line, std::move(message) });
        };
        if (std::ranges::find(sectionNames, section->header) == sectionNames.end())
            report("unknown section; expected one of [daemon], [log], [callers], [admin], [mesh] and [store]");
        auto earlier = std::find_if(
            file.sections.begin(), section, [&](const IniSection& other) { return other.header == section->header; });
        if (earlier != section)
            report(fmt::format("the section appears twice, first on line {}; merge the two", earlier->line));
    }
}

} // namespace

Result<DaemonSettings, ConfigErrors> SettingsParser::parse(std::string_view text) const
{
    using Read = void (*)(SectionReader&, DaemonSettings&);
    // The mesh section is read after the daemon section, because its advertised address defaults to the daemon's
    // address.
    static constexpr std::array<Read, sectionNames.size()> readers { readDaemon, readLog, readCallers, readAdmin,
        readMesh, readStore };
    auto file = IniParser().parse(text);
    auto errors = std::move(file.errors);
    checkSections(file, errors);
    DaemonSettings settings;
    for (std::size_t index = 0; index < readers.size(); ++index) {
        auto section = file.sectionOrEmpty(sectionNames[index]);
        SectionReader reader(section, errors);
        readers[index](reader, settings);
        reader.reportUnknownKeys();
    }
    if (errors.isEmpty())
        return settings;
    errors.sortByLine();
    return errors;
}

Result<DaemonSettings, ConfigErrors> SettingsParser::parseFile(const std::string& path) const
{
    BOOST_OUTCOME_TRY(text, readSettingsText(path));
    return this->parse(text);
}

} // namespace Greengage
