#pragma once

#include <config/merge/TextBlock.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Divides the text of a document into blocks.
std::vector<TextBlock> divideIntoBlocks(std::string_view text);

/// Writes blocks one after another, each with its blank lines before it. Blocks as they were divided give the text
/// again, but for blank lines at its end and a missing last newline.
std::string joinBlocks(const std::vector<TextBlock>&);

/// The block with that key, or nothing.
const TextBlock* findBlock(const std::vector<TextBlock>&, std::string_view key);

/// The block's text, or an empty one if there is no block, so that versions of a block compare by what they say.
std::string_view textOf(const TextBlock*);

} // namespace Greengage
