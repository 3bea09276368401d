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

/// Decides over all requests of one daemon: admission, queueing, choice of endpoints, retries, limits and freshness of
/// the document. It does no input or output, reads no clock and writes no log. The same inputs at the same instants
/// give the same outputs, so a session can be compared with a golden file.
class RequestPlane {
public:
    /// `self` gives this daemon's id, incarnation and zone.
    explicit RequestPlane(PeerState self, const RequestPolicy& = {});
    ~RequestPlane();

    /// Applies the inputs in order, runs every system once and returns the resulting actions. The daemon calls it soon
    /// after each input and at the latest every 50 ms.
    std::vector<RequestOutput> tick(Instant now, std::vector<RequestInput> inputs);

    /// The state to send to peers now.
    PeerState describe(Instant now) const;

    /// Whether requests to keyed queues may be started now, because the document is known to be current.
    bool servesKeyedWork(Instant now) const;

    /// Number of this daemon's requests that an endpoint is running, as far as the daemon knows.
    int runningAt(const VmId&) const;

    /// Whether a shutdown was requested and no request is unfinished and no allotment is left to hand back.
    bool isIdle() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Greengage
