#pragma once

#include <standins/relay/RelayAction.h>

#include <string>

namespace Greengage {

/// Selects connections by prefixes of their source and destination addresses, and says what the relay does with them.
struct RelayRule {
    std::string source;
    std::string destination;
    RelayAction action = RelayAction::Pass;

    bool matches(const std::string& from, const std::string& to) const
    {
        return from.starts_with(this->source) && to.starts_with(this->destination);
    }
};

} // namespace Greengage
