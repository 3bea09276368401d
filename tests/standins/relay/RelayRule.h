#pragma once

#include <standins/relay/RelayAction.h>

#include <string>

namespace Greengage {

/// Decides over connections by the beginnings of the addresses that they lead from and to.
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
