#pragma once

#include <fleet/requests/messages/AllotmentsRead.h>
#include <fleet/requests/messages/AllotmentsWriteFailed.h>
#include <fleet/requests/messages/AttemptEnded.h>
#include <fleet/requests/messages/CallerDisconnected.h>
#include <fleet/requests/messages/ClaimSettled.h>
#include <fleet/requests/messages/DocumentApplied.h>
#include <fleet/requests/messages/EndpointsListed.h>
#include <fleet/requests/messages/MembersListed.h>
#include <fleet/requests/messages/PeerStateReceived.h>
#include <fleet/requests/messages/RequestArrived.h>
#include <fleet/requests/messages/RunningReported.h>
#include <fleet/requests/messages/ShutdownRequested.h>
#include <fleet/requests/messages/StoreConfirmed.h>

#include <variant>

namespace Greengage {

/// All inputs of the request plane.
using RequestInput = std::variant<RequestArrived, CallerDisconnected, DocumentApplied, EndpointsListed, StoreConfirmed,
    ClaimSettled, AttemptEnded, RunningReported, AllotmentsRead, AllotmentsWriteFailed, PeerStateReceived,
    MembersListed, ShutdownRequested>;

} // namespace Greengage
