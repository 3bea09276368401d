#pragma once

#include <core/errors/Result.h>
#include <json/forwards.h>
#include <store/store/StoreError.h>

#include <string>
#include <vector>

namespace Greengage {

struct HttpResponse;
struct RebootStatus;
struct StoreEntry;
struct VmRecord;
struct WatchResult;

/// Parses the JSON answers of the platform's store and VM list. An answer of another shape than expected gives
/// Malformed.
namespace StoreAnswers {

/// The JSON object in a response with status 200.
Result<Json::Value, StoreError> parse(const HttpResponse&);

Result<StoreEntry, StoreError> toEntry(const Json::Value&, const std::string& key);
/// The version that resulted from a write or an erase.
Result<std::uint64_t, StoreError> toVersion(const Json::Value&);
Result<std::vector<StoreEntry>, StoreError> toEntries(const Json::Value&);
Result<WatchResult, StoreError> toWatchResult(const Json::Value&);
Result<std::string, StoreError> toLeaseId(const Json::Value&);
Result<bool, StoreError> toRenewed(const Json::Value&);
Result<std::vector<VmRecord>, StoreError> toVms(const Json::Value&);
Result<RebootStatus, StoreError> toRebootStatus(const Json::Value&);

} // namespace StoreAnswers

} // namespace Greengage
