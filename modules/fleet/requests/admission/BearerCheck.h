#pragma once

#include <string_view>

namespace Greengage {

struct AccessKey;
struct Document;

/// Finds the key of the document that a caller has shown as "<name>.<secret>"; null if there is none or the secret is
/// wrong. It takes as long for an unknown name as for a wrong secret.
const AccessKey* findShownKey(const Document&, std::string_view bearer);

} // namespace Greengage
