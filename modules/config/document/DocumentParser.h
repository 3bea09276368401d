#pragma once

#include <config/errors/ConfigErrors.h>
#include <config/model/Document.h>
#include <core/errors/Result.h>

#include <cstdint>
#include <string_view>

namespace Greengage {

/// Parses and checks the operators' document. Either every section is well formed, every name is unique among its kind
/// and every reference names an entity of the document, or all faults are returned together, sorted by line.
class DocumentParser {
public:
    /// `revision` is written into the document; give 0 for a text that the store has not accepted.
    Result<Document, ConfigErrors> parse(std::string_view text, std::uint64_t revision = 0) const;
};

} // namespace Greengage
