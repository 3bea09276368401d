#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/model/Document.h>
#include <core/errors/Result.h>

#include <cstdint>
#include <string_view>

namespace Greengage {

/// Parses and validates the operators' document. It succeeds if every section is well formed, every name is unique
/// within its kind and every reference names an existing entity. Otherwise it returns all errors, sorted by line.
class DocumentParser {
public:
    /// `revision` is stored in the returned document; pass 0 for a text that has not been accepted.
    Result<Document, ConfigErrors> parse(std::string_view text, std::uint64_t revision = 0) const;
};

} // namespace Greengage
