#pragma once

#include <fleet/requests/messages/AllotmentsRead.h>
#include <fleet/requests/messages/AllotmentsWriteFailed.h>
#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/messages/CallerLeft.h>
#include <fleet/requests/messages/ClaimSettled.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerHeard.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/messages/ShutdownRequested.h>
#include <fleet/requests/messages/StoreConfirmed.h>

#include <variant>

namespace Greengage {

/// All inputs of the request plane.
using RequestInput = std::variant<RequestArrived, CallerLeft, DocumentApplied, EndpointsListed, StoreConfirmed,
    ClaimSettled, AttemptEnded, RunningReported, AllotmentsRead, AllotmentsWriteFailed, PeerHeard, MembersListed,
    ShutdownRequested>;

} // namespace Greengage
