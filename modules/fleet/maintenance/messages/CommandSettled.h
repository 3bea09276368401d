#pragma once

#include <fleet/maintenance/messages/CommandOutcome.h>

#include <string>

namespace Greengage {

/// Answer the operator who submitted the command.
struct CommandSettled {
    std::string command;
    CommandOutcome outcome = CommandOutcome::Accepted;
};

} // namespace Greengage
