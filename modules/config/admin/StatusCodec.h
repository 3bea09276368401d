#pragma once

#include <config/admin/StatusReport.h>
#include <config/json/CodecError.h>
#include <core/errors/Result.h>

#include <string>
#include <string_view>

namespace Greengage {

/// Encodes and decodes status reports as JSON. Every member is written, also empty lists. Decoding rejects missing and
/// mistyped members and ignores unknown ones:
/// {"daemon","revision","inForceRevision","storeReachable","fresh",
///  "daemons":[{"daemon","zone","revision","heardMillisecondsAgo"}],
///  "waves":[{"wave","state","remaining","done","stuck":[vm]}], "endpoints":[{"vm","service","state","running"}]}
class StatusCodec {
public:
    static std::string encode(const StatusReport&);
    static Result<StatusReport, CodecError> decode(std::string_view json);
};

} // namespace Greengage
