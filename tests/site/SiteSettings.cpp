#include <core/text/Digest.h>
#include <spdlog/fmt/fmt.h>
#include <tests/site/SiteLayout.h>
#include <tests/site/SiteSettings.h>

namespace Greengage {

namespace {

constexpr const char* operatorSalt = "ffeeddccbbaa99887766554433221100";

/// The addresses of the other daemons, each on an indented line of its own, since the length of a settings line is
/// limited.
std::string peersOf(const SiteLayout& layout, const DaemonLocation& location, std::uint16_t meshPort)
{
    std::string peers;
    for (const auto& other : layout.daemons()) {
        if (other.name != location.name)
            peers += fmt::format("\n    {}:{}", other.address, meshPort);
    }
    return peers;
}

} // namespace

std::string SiteSettings::text(const SiteLayout& layout, std::size_t index, bool relayed)
{
    const auto& location = layout.daemons()[index];
    auto meshPort = relayed ? layout.relayedMeshPort() : layout.meshPort();
    auto storePort = relayed ? layout.relayedStorePort() : layout.storePort();
    auto digest = sha256Hex(std::string(operatorSalt) + SiteSettings::operatorKey);
    auto peers = peersOf(layout, location, meshPort);
    auto text = fmt::format(
        "[daemon]\nname = {}\nzone = zone-{}\naddress = {}\n", location.name, location.zone, location.address);
    text += "\n[log]\nlevel = info\n";
    text += fmt::format("\n[callers]\nport = {}\n", layout.callerPort());
    text += fmt::format(
        "\n[admin]\nport = {}\nkey_salt = {}\nkey_digest = {}\n", layout.adminPort(), operatorSalt, digest);
    text += fmt::format("\n[mesh]\nport = {}\nadvertised_port = {}\n", layout.meshPort(), meshPort);
    if (!peers.empty())
        text += "peers =" + peers + "\n";
    return text + fmt::format("\n[store]\naddress = {}\nport = {}\n", SiteLayout::storeAddress(), storePort);
}

} // namespace Greengage
