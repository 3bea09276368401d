#include <config/json/Utf8.h>

#include <algorithm>
#include <locale>

namespace Greengage {

namespace {

unsigned char toByte(char character) { return static_cast<unsigned char>(character); }

/// Whether two bytes begin an encoded surrogate. Surrogates are not characters, but the standard library's codecvt
/// facet accepts them.
bool beginsSurrogate(char first, char second) { return toByte(first) == 0xed && toByte(second) >= 0xa0; }

bool beginsFourBytes(char first) { return toByte(first) >= 0xf0; }

} // namespace

bool isBmpUtf8(std::string_view text)
{
    using Utf8Facet = std::codecvt<char32_t, char8_t, std::mbstate_t>;
    std::mbstate_t state {};
    const auto* begin = reinterpret_cast<const char8_t*>(text.data());
    const auto& facet = std::use_facet<Utf8Facet>(std::locale::classic());
    auto length = facet.length(state, begin, begin + text.size(), text.size());
    return static_cast<std::size_t>(length) == text.size()
        && std::ranges::adjacent_find(text, beginsSurrogate) == text.end()
        && std::ranges::none_of(text, beginsFourBytes);
}

} // namespace Greengage
