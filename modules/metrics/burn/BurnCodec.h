#pragma once

#include <core/errors/Result.h>
#include <metrics/burn/BurnCodecError.h>
#include <metrics/burn/BurnRow.h>

#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Rows as the JSON that daemons serve under /v1/burn:
/// {"rows":[{"service","team","objectivePercent","windows":{"5m":{"total","good"},..}}]}.
std::string encodeBurnRows(const std::vector<BurnRow>&);

/// Reads what encodeBurnRows wrote. Refuses missing fields, an objective outside (0, 100) and more good requests than
/// requests.
Result<std::vector<BurnRow>, BurnCodecError> decodeBurnRows(std::string_view json);

} // namespace Greengage
