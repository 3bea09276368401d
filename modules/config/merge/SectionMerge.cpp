#include <config/merge/SectionMerge.h>

#include <config/merge/TextBlocks.h>

#include <algorithm>
#include <set>

namespace Greengage {

namespace {

using Blocks = std::vector<TextBlock>;
using KeyOrder = std::vector<std::string>;

/// Keys of the blocks, in order, leaving out those that `other` lacks.
KeyOrder commonKeys(const Blocks& blocks, const Blocks& other)
{
    std::set<std::string> otherKeys;
    for (const auto& block : other)
        otherKeys.insert(block.key);
    KeyOrder keys;
    for (const auto& block : blocks) {
        if (otherKeys.contains(block.key))
            keys.push_back(block.key);
    }
    return keys;
}

/// The keys of `first` in their order, and those that only `second` has, each behind the one that it follows there.
KeyOrder combineOrders(const Blocks& first, const Blocks& second)
{
    KeyOrder order;
    for (const auto& block : first)
        order.push_back(block.key);
    std::set<std::string> placed(order.begin(), order.end());
    const std::string* previous = nullptr;
    for (const auto& block : second) {
        if (placed.insert(block.key).second) {
            auto place = order.begin();
            if (previous != nullptr)
                place = std::next(std::ranges::find(order, *previous));
            order.insert(place, block.key);
        }
        previous = &block.key;
    }
    return order;
}

/// Which version of a block stands in the merged text; none if the block is removed or in conflict.
struct BlockChoice {
    const TextBlock* block = nullptr;
    bool isConflict = false;
};

BlockChoice chooseBlock(const TextBlock* base, const TextBlock* mine, const TextBlock* current)
{
    if (textOf(mine) == textOf(base))
        return { current };
    if (textOf(current) == textOf(base) || textOf(current) == textOf(mine))
        return { mine };
    return { nullptr, true };
}

} // namespace

SectionMerge SectionMerge::merge(std::string_view base, std::string_view mine, std::string_view current)
{
    if (base == current || mine == current)
        return { std::string(mine), {} };
    auto baseBlocks = divideIntoBlocks(base);
    auto mineBlocks = divideIntoBlocks(mine);
    auto currentBlocks = divideIntoBlocks(current);
    auto currentKeepsOrder = commonKeys(currentBlocks, baseBlocks) == commonKeys(baseBlocks, currentBlocks);
    auto order
        = currentKeepsOrder ? combineOrders(mineBlocks, currentBlocks) : combineOrders(currentBlocks, mineBlocks);
    SectionMerge merge;
    Blocks merged;
    for (const auto& key : order) {
        const auto* inCurrent = findBlock(currentBlocks, key);
        const auto* inMine = findBlock(mineBlocks, key);
        auto choice = chooseBlock(findBlock(baseBlocks, key), inMine, inCurrent);
        if (choice.isConflict)
            merge.conflicts.push_back((inMine != nullptr ? inMine : inCurrent)->header);
        else if (choice.block != nullptr)
            merged.push_back(*choice.block);
    }
    merge.text = joinBlocks(merged);
    return merge;
}

std::vector<std::string> changedSections(std::string_view before, std::string_view after)
{
    auto beforeBlocks = divideIntoBlocks(before);
    auto afterBlocks = divideIntoBlocks(after);
    std::vector<std::string> headers;
    for (const auto& key : combineOrders(afterBlocks, beforeBlocks)) {
        const auto* old = findBlock(beforeBlocks, key);
        const auto* fresh = findBlock(afterBlocks, key);
        const auto& header = (fresh != nullptr ? fresh : old)->header;
        if (!header.empty() && textOf(old) != textOf(fresh))
            headers.push_back(header);
    }
    return headers;
}

} // namespace Greengage
