// Purpose: calls between daemons: JSON-RPC 2.0 over TCP, one message a line.
// Dependencies: core, loop, config, the peer state of fleet, libjsonrpccpp, libevent, jsoncpp.
#pragma once

#include <mesh/MeshClient.h>
#include <mesh/MeshServer.h>
#include <mesh/codec/PeerStateCodec.h>
