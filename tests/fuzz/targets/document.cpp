#include <config/config.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Parses the text as an operators' document. A text that is refused must have errors; a document must survive encoding
/// and division into blocks. Merging with an unchanged text has no conflicts, and a text does not differ from itself.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = inputText(data, size);
    auto parsed = DocumentParser().parse(text);
    auto blocks = splitIntoBlocks(text);
    requireProperty(joinBlocks(splitIntoBlocks(joinBlocks(blocks))) == joinBlocks(blocks));
    requireProperty(DocumentDiff::compare(text, text).empty());
    requireProperty(SectionMerge::merge(text, text, "[team other]\n").conflicts.empty());
    if (parsed.has_error()) {
        requireProperty(!parsed.error().isEmpty());
        return 0;
    }
    DocumentRecord record { 1, {}, text };
    auto decoded = DocumentCodec::decode(DocumentCodec::encode(record));
    requireProperty(decoded.has_value() && decoded.value().text == text);
    auto joined = DocumentParser().parse(joinBlocks(blocks));
    requireProperty(joined.has_value() && joined.value().pools.size() == parsed.value().pools.size());
    KeyVerifier verifier(parsed.value());
    requireProperty(!verifier.verify(text).has_value());
    return 0;
}
