#pragma once

#include <config/model/AccessKey.h>

#include <string>

namespace Greengage {

/// A new key: the part that the document stores and the text that the caller presents. Print `presentedKey` once and
/// never log it, because it contains the secret.
struct GeneratedKey {
    AccessKey stored;
    /// "<name>.<secret>".
    std::string presentedKey;
};

} // namespace Greengage
