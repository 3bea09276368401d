#include <config/merge/SectionMerge.h>

#include <config/merge/TextBlocks.h>

#include <algorithm>
#include <set>

namespace Greengage {

namespace {

using Blocks = std::vector<TextBlock>;
using KeyOrder = std::vector<std::string>;

/// Returns the keys of `blocks` that `other` has too, in the order of `blocks`.
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

/// Returns the keys of `first` in their order, and inserts each key that only `second` has after the key that precedes
/// it in `second`.
KeyOrder combineOrders(const Blocks& first, const Blocks& second)
{
    KeyOrder order;
    for (const auto& block : first)
        order.push_back(block.key);
    std::set<std::string> orderedKeys(order.begin(), order.end());
    const std::string* previous = nullptr;
    for (const auto& block : second) {
        if (orderedKeys.insert(block.key).second) {
            auto position = order.begin();
            if (previous != nullptr)
                position = std::next(std::ranges::find(order, *previous));
            order.insert(position, block.key);
        }
        previous = &block.key;
    }
    return order;
}

/// The version of a block that goes into the merged text; null if the block is removed or in conflict.
struct BlockChoice {
    const TextBlock* block = nullptr;
    bool isConflict = false;
};

BlockChoice chooseBlock(const TextBlock* base, const TextBlock* mine, const TextBlock* current)
{
    if (textOrEmpty(mine) == textOrEmpty(base))
        return { current };
    if (textOrEmpty(current) == textOrEmpty(base) || textOrEmpty(current) == textOrEmpty(mine))
        return { mine };
    return { nullptr, true };
}

} // namespace

SectionMerge SectionMerge::merge(std::string_view base, std::string_view mine, std::string_view current)
{
    if (base == current || mine == current)
        return { std::string(mine), {} };
    auto baseBlocks = splitIntoBlocks(base);
    auto mineBlocks = splitIntoBlocks(mine);
    auto currentBlocks = splitIntoBlocks(current);
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
    auto beforeBlocks = splitIntoBlocks(before);
    auto afterBlocks = splitIntoBlocks(after);
    std::vector<std::string> headers;
    for (const auto& key : combineOrders(afterBlocks, beforeBlocks)) {
        const auto* oldBlock = findBlock(beforeBlocks, key);
        const auto* newBlock = findBlock(afterBlocks, key);
        const auto& header = (newBlock != nullptr ? newBlock : oldBlock)->header;
        if (!header.empty() && textOrEmpty(oldBlock) != textOrEmpty(newBlock))
            headers.push_back(header);
    }
    return headers;
}

} // namespace Greengage
