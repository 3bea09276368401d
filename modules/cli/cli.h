// Purpose: greengagectl, the operators' command-line tool: validates, compares and applies the configuration document,
// shows what is in force, grants and withdraws keys, controls maintenance waves and reports error budget burn rates.
// Dependencies: core, config, metrics, the HTTP client of store, libevent, CLI11.
#pragma once

#include <cli/commands/CommandLine.h>
#include <cli/commands/ExitCode.h>
