#include <boost/test/unit_test.hpp>
#include <config/config.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace Greengage;

namespace {

const std::string base
    = "; What is in force.\n\n; ---- teams ----\n\n; Desk in the hall.\n[team desk]\nshare = 1\n; trailing\n\n"
      "limit = 2\n\n[team night]\nshare = 3\n\n; ---- keys ----\n[key k]\nteam = desk\n";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : "|") + part;
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SectionMerging)

BOOST_AUTO_TEST_CASE(joinedBlocksRestoreTheText)
{
    auto blocks = splitIntoBlocks(base);
    BOOST_TEST(joinBlocks(blocks) == base);
    BOOST_REQUIRE(blocks.size() == 5U);
    BOOST_TEST(blocks[2].text == "; Desk in the hall.\n[team desk]\nshare = 1\n; trailing\n\nlimit = 2\n");
    BOOST_TEST(blocks[4].text == "; ---- keys ----\n[key k]\nteam = desk\n");
}

BOOST_AUTO_TEST_CASE(editsOfDifferentSectionsAreBothKeptWithTheirComments)
{
    auto mine = replaced(base, "limit = 2", "; doubled for the season\nlimit = 4");
    auto current = replaced(base, "share = 3\n", "share = 5\n\n[team day]\nshare = 9\n");
    auto merge = SectionMerge::merge(base, mine, current);
    BOOST_TEST(merge.conflicts.empty());
    BOOST_TEST(merge.text == replaced(current, "limit = 2", "; doubled for the season\nlimit = 4"));
    BOOST_TEST(joined(changedSections(base, merge.text)) == "team desk|team night|team day");
}

BOOST_AUTO_TEST_CASE(editsOfOneSectionConflict)
{
    auto mine = replaced(replaced(base, "limit = 2", "limit = 4"), "share = 3", "share = 4");
    auto current = replaced(replaced(base, "limit = 2", "limit = 5"), "share = 3", "share = 4");
    BOOST_TEST(joined(SectionMerge::merge(base, mine, current).conflicts) == "team desk");
}

BOOST_AUTO_TEST_CASE(removalConflictsWithEditOfTheSameSectionOnly)
{
    auto removed = replaced(base, "\n[team night]\nshare = 3\n", "");
    auto edited = replaced(base, "share = 3", "share = 4");
    BOOST_TEST(joined(SectionMerge::merge(base, removed, edited).conflicts) == "team night");
    BOOST_TEST(joined(SectionMerge::merge(base, edited, removed).conflicts) == "team night");
    auto other = replaced(base, "limit = 2", "limit = 7");
    BOOST_TEST(SectionMerge::merge(base, removed, other).text == replaced(removed, "limit = 2", "limit = 7"));
}

BOOST_AUTO_TEST_CASE(bothAddSectionsAtTheEnd)
{
    auto merge = SectionMerge::merge(base, base + "\n[key m]\nteam = desk\n", base + "\n[key c]\nteam = desk\n");
    BOOST_TEST(merge.conflicts.empty());
    BOOST_TEST(splitIntoBlocks(merge.text).size() == 7U);
}

BOOST_AUTO_TEST_CASE(diffNamesSectionsAndKeys)
{
    auto after = replaced(replaced(base, "limit = 2", "weight = 2"), "; ---- keys ----\n[key k]\nteam = desk\n", "");
    after = replaced(after, "[team night]", "; renewed\n[team night]");
    auto changes = DocumentDiff::compare(base, after);
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_TEST(changes[0].section == "team desk");
    BOOST_REQUIRE(changes[0].keys.size() == 2U);
    BOOST_TEST(changes[0].keys[0].key == "weight");
    BOOST_TEST(!changes[0].keys[0].before.has_value());
    BOOST_TEST(changes[0].keys[1].before.value() == "2");
    BOOST_TEST((changes[1].kind == SectionChangeKind::Reworded));
    BOOST_TEST((changes[2].kind == SectionChangeKind::Removed));
}

/// Two operators make random edits to disjoint sections. The merge must contain all edits of both, in either order.
BOOST_AUTO_TEST_CASE(disjointEditsCommute)
{
    std::mt19937 random(20261204);
    for (int trial = 0; trial < 200; ++trial) {
        std::string original, mine, current;
        for (int index = 0; index < 8; ++index) {
            auto header = "; note " + std::to_string(index) + "\n[team t" + std::to_string(index) + "]\n";
            auto plain = header + "share = 1\n\n";
            auto edited
                = random() % 4 == 0 ? std::string() : header + "share = " + std::to_string(random() % 9 + 2) + "\n\n";
            auto editor = random() % 3;
            original += plain;
            mine += editor == 1 ? edited : plain;
            current += editor == 2 ? edited : plain;
        }
        auto merged = SectionMerge::merge(original, mine, current);
        auto mergedInReverse = SectionMerge::merge(original, current, mine);
        BOOST_REQUIRE(merged.conflicts.empty());
        auto changed = changedSections(original, mine).size() + changedSections(original, current).size();
        BOOST_REQUIRE(changedSections(original, merged.text).size() == changed);
        BOOST_REQUIRE(changedSections(merged.text, mergedInReverse.text).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
