// Purpose: the HTTP edges of the daemon: callers' requests come in, attempts go out to endpoints, operators' requests
// come in on the admin port.
// Dependencies: core, loop, config, the request messages of fleet, libevent (evhttp), jsoncpp.
#pragma once

#include <gateway/callers/CallerServer.h>
#include <gateway/endpoints/EndpointClient.h>
#include <gateway/traffic/Gateway.h>
