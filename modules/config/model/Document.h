#pragma once

#include <config/model/AccessKey.h>
#include <config/model/Pool.h>
#include <config/model/Queue.h>
#include <config/model/Service.h>
#include <config/model/Team.h>
#include <config/model/Wave.h>

#include <cstdint>
#include <vector>

namespace Greengage {

/// The operators' document, parsed and validated. Every reference names an existing entity, and every name is unique
/// within its kind.
struct Document {
    /// Revision under which the text was accepted; 0 for a text that has not been accepted.
    std::uint64_t revision = 0;
    std::vector<Service> services;
    std::vector<Pool> pools;
    std::vector<Queue> queues;
    std::vector<Team> teams;
    std::vector<AccessKey> keys;
    std::vector<Wave> waves;
};

} // namespace Greengage
