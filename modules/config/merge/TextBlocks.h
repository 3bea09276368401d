#pragma once

#include <config/merge/TextBlock.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Splits the text of a document into blocks.
std::vector<TextBlock> splitIntoBlocks(std::string_view text);

/// Concatenates blocks, each preceded by its blank lines. Joining the unchanged blocks of a text restores the text,
/// except that blank lines at its end are removed and a missing final newline is added.
std::string joinBlocks(const std::vector<TextBlock>&);

/// Returns the block with that key, or null.
const TextBlock* findBlock(const std::vector<TextBlock>&, std::string_view key);

/// Returns the block's text, or an empty text if `block` is null, so that a removed block compares like an empty one.
std::string_view textOrEmpty(const TextBlock*);

} // namespace Greengage
