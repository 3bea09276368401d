// Purpose: the basic types that every other module uses: results, invariant checks, clocks and deadlines, tables of
// enumerator names, key=value log lines, the boundary for unforeseen errors, random numbers and digests.
// Dependencies: spdlog, OpenSSL (libcrypto), Boost.Outcome.
#pragma once

#include <core/checks/Assertion.h>
#include <core/errors/ErrorBoundary.h>
#include <core/errors/Result.h>
#include <core/errors/UnforeseenError.h>
#include <core/errors/WorkScope.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/text/Digest.h>
#include <core/text/EnumNames.h>
#include <core/text/Identifier.h>
#include <core/time/BootClock.h>
#include <core/time/Deadline.h>
#include <core/time/Instant.h>
#include <core/time/ManualClock.h>
