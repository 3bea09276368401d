#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <string>

using namespace Greengage;

namespace {

std::string errorsOf(std::string_view text)
{
    auto parsed = SettingsParser().parse(text);
    return parsed.has_value() ? "none" : parsed.error().describe("daemon.ini");
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsParsing)

BOOST_AUTO_TEST_CASE(exampleSettingsAreValid)
{
    auto parsed = SettingsParser().parseFile(SOURCE_ROOT "/examples/brno/daemon-1.ini");
    BOOST_REQUIRE(parsed.has_value());
    const auto& settings = parsed.value();
    BOOST_TEST(settings.name.string() == "brno-1");
    BOOST_TEST(settings.callers.port == 8080);
    BOOST_TEST((settings.mesh.advertised == SocketAddress { "127.1.1.1", 8082 }));
    BOOST_TEST(settings.mesh.peers.size() == 6U);
    BOOST_TEST((settings.store == SocketAddress { "127.3.0.1", 7000 }));
    BOOST_TEST(KeyVerifier::matches("demo-operator", settings.admin.keySalt, settings.admin.keyDigest));
}

BOOST_AUTO_TEST_CASE(errorsNameFileSectionKeyAndLine)
{
    BOOST_TEST(
        errorsOf("[daemon]\nname = a\nzone = z\naddress = localhost\n[log]\nlevel = loud\n[callers]\nport = 70000\n"
                 "speed = 9\n[admin]\nport = 2\nkey_salt = ab\n[mesh]\nport = 3\npeers = 1.2.3.4\n[stoer]\n[log]\n")
        == "daemon.ini: [store] address: missing; this key is required in this section\n"
           "daemon.ini: [store] port: missing; this key is required in this section\n"
           "daemon.ini:4: [daemon] address: \"localhost\" is not valid; expected a numeric IP address, such as "
           "10.0.0.1\n"
           "daemon.ini:6: [log] level: \"loud\" is not valid; expected one of: debug, info, warning, error\n"
           "daemon.ini:8: [callers] port: \"70000\" is not valid; expected a whole number from 1 to 65535\n"
           "daemon.ini:9: [callers] speed: unknown key; this section has: idle_timeout_ms, max_body_bytes, "
           "max_connections, max_header_bytes, port\n"
           "daemon.ini:10: [admin] key_digest: missing; this key is required in this section\n"
           "daemon.ini:12: [admin] key_salt: the value has 2 characters; expected an even number of lower-case "
           "hexadecimal digits (16 to 128)\n"
           "daemon.ini:15: [mesh] peers: \"1.2.3.4\" is not valid; expected an IP address with a port, such as "
           "10.0.0.1:7000\n"
           "daemon.ini:16: [stoer] unknown section; expected one of [daemon], [log], [callers], [admin], [mesh] and "
           "[store]\n"
           "daemon.ini:17: [log] the section appears twice, first on line 5; merge the two\n");
}

BOOST_AUTO_TEST_CASE(unreadableFileIsReported)
{
    auto parsed = SettingsParser().parseFile(SOURCE_ROOT "/examples/absent.ini");
    BOOST_REQUIRE(parsed.has_error());
    BOOST_TEST(parsed.error().describe("absent.ini")
        == "absent.ini: the file cannot be read or is empty; expected the name of a settings file\n");
    BOOST_TEST(SettingsParser().parseFile(SOURCE_ROOT).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
