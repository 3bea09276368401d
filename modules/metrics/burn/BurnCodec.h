#pragma once

#include <core/errors/Result.h>
#include <metrics/burn/BurnCodecError.h>
#include <metrics/burn/BurnRow.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Encodes rows as the JSON that daemons serve under /v1/burn:
/// {"rows":[{"service","team","objectivePercent","windows":{"5m":{"total","good"},..}}]}.
std::string encodeBurnRows(const std::vector<BurnRow>&);

/// Decodes the output of encodeBurnRows. Fails on missing fields, an objective outside the open interval (0, 100) and
/// windows with more good requests than requests in total.
Result<std::vector<BurnRow>, BurnCodecError> decodeBurnRows(std::string_view json);

} // namespace Greengage
