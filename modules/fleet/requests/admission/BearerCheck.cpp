#include <fleet/requests/admission/BearerCheck.h>

#include <config/model/Document.h>
#include <core/text/Digest.h>

namespace Greengage {

const AccessKey* findShownKey(const Document& document, std::string_view bearer)
{
    auto dot = bearer.find('.');
    if (dot == std::string_view::npos)
        return nullptr;
    auto name = bearer.substr(0, dot);
    auto secret = bearer.substr(dot + 1);
    const AccessKey* candidate = nullptr;
    for (const auto& key : document.keys) {
        if (key.name.string() == name)
            candidate = &key;
    }
    auto digest = sha256Hex((candidate ? candidate->salt : std::string(32, '0')) + std::string(secret));
    if (!candidate || !equalInConstantTime(digest, candidate->digest))
        return nullptr;
    return candidate;
}

} // namespace Greengage
