// Purpose: greengagectl, the operators' command line: it checks, compares and applies the document, shows what is in
// force, grants and withdraws keys, drives maintenance waves and reports service-level burn. Dependencies: core,
// config, metrics, the HTTP client of platform, libevent, CLI11.
#pragma once

#include <cli/commands/CommandLine.h>
#include <cli/commands/ExitCode.h>
