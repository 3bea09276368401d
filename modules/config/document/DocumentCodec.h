#pragma once

#include <config/json/CodecError.h>
#include <config/model/DocumentRecord.h>
#include <core/errors/Result.h>

#include <string>
#include <string_view>

namespace Json {
class Value;
}

namespace Greengage {

/// Encodes and decodes document records as the JSON that the store, the daemons and the operators' tool exchange.
/// Decoding rejects missing, unknown and mistyped members, and a record whose newest change has another revision.
class DocumentCodec {
public:
    static std::string encode(const DocumentRecord&);
    static Json::Value toJson(const DocumentRecord&);
    static Result<DocumentRecord, CodecError> decode(std::string_view json);
    static Result<DocumentRecord, CodecError> fromJson(const Json::Value&);
};

} // namespace Greengage
