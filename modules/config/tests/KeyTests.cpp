#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <string>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(Keys)

BOOST_AUTO_TEST_CASE(onlyTheGeneratedKeyIsAccepted)
{
    auto key = KeyGenerator::generate(KeyId("desk-1"), TeamId("desk"), "operations");
    auto text = "[team desk]\nowner = o\nworkspace = w\nshare = 1\nlimit = 4\n" + KeyGenerator::sectionText(key.stored);
    auto document = DocumentParser().parse(text);
    BOOST_REQUIRE(document.has_value());
    KeyVerifier verifier(document.value());
    auto verified = verifier.verify(key.presentedKey);
    BOOST_REQUIRE(verified.has_value());
    BOOST_TEST(verified->team.string() == "desk");
    BOOST_TEST(verified->key.string() == "desk-1");
    auto secret = key.presentedKey.substr(key.presentedKey.find('.') + 1);
    BOOST_TEST(text.find(secret) == std::string::npos);
    for (const std::string& wrong : { std::string(), std::string("desk-1"), std::string("desk-1."), "desk-2." + secret,
             secret, key.presentedKey + "0", "desk-1." + key.stored.digest, "desk-1." + std::string(100'000, 'a') })
        BOOST_TEST(!verifier.verify(wrong).has_value());
    BOOST_TEST(!KeyVerifier().verify(key.presentedKey).has_value());
}

BOOST_AUTO_TEST_CASE(generatedKeysDiffer)
{
    auto first = KeyGenerator::generate(KeyId("k"), TeamId("t"), "o");
    auto second = KeyGenerator::generate(KeyId("k"), TeamId("t"), "o");
    BOOST_TEST(first.presentedKey != second.presentedKey);
    BOOST_TEST(first.stored.salt != second.stored.salt);
}

BOOST_AUTO_TEST_SUITE_END()
