// Purpose: the daemon's HTTP interfaces: a server for callers' requests, a client that sends attempts to endpoints, and
// a server for operators' requests on the admin port.
// Dependencies: core, loop, config, the request messages of fleet, libevent (evhttp), jsoncpp.
#pragma once

#include <gateway/callers/CallerServer.h>
#include <gateway/endpoints/EndpointClient.h>
#include <gateway/traffic/Gateway.h>
