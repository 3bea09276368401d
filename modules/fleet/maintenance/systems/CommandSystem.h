#pragma once

#include <fleet/maintenance/messages/CommandOutcome.h>

namespace Greengage {

struct WaveCommanded;
struct WaveContext;

/// Applies an operator's command to the draft of the ledger. Accepted means that the draft contains the command.
CommandOutcome applyCommand(WaveContext&, const WaveCommanded&);

} // namespace Greengage
