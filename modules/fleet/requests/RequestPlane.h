#pragma once

#include <core/time/Instant.h>
#include <fleet/peers/PeerState.h>
#include <fleet/requests/RequestInput.h>
#include <fleet/requests/RequestOutput.h>
#include <fleet/requests/policy/RequestPolicy.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace Greengage {

/// Decides over all requests of one daemon: admission, waiting, endpoints, retries, limits and freshness. It knows no
/// socket, no clock and no log. The same inputs at the same instants give the same outputs, so a session can be kept as
/// a golden file.
class RequestPlane {
public:
    /// `self` gives this daemon's id, incarnation and zone.
    explicit RequestPlane(PeerState self, const RequestPolicy& = {});
    ~RequestPlane();

    /// Takes the inputs in order, runs every system once, and returns what is to be done. The daemon calls it soon
    /// after each input and at the latest every 50 ms.
    std::vector<RequestOutput> tick(Instant now, std::vector<RequestInput> inputs);

    /// What to tell peers now.
    PeerState describe(Instant now) const;

    /// Whether keyed queues are served now: the document is known to be current.
    bool servesKeyedWork(Instant now) const;

    /// How many requests of this daemon an endpoint is running, as far as the daemon knows.
    int runningAt(const VmId&) const;

    /// Whether a shutdown has been asked for and nothing is left to finish or hand back.
    bool isIdle() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
