#pragma once

#include <jobs/model/PoolPolicy.h>
#include <jobs/model/QueuePolicy.h>
#include <jobs/model/TeamPolicy.h>

#include <cstdint>
#include <unordered_map>

namespace Greengage {

/// One version of the operators' settings for queues, teams and pools, which placement follows.
struct JobPolicies {
    std::int64_t version = 0;
    std::unordered_map<QueueId, QueuePolicy> queues;
    std::unordered_map<TeamId, TeamPolicy> teams;
    std::unordered_map<PoolId, PoolPolicy> pools;
};

} // namespace Greengage
