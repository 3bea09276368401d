// Purpose: the client of the platform's key-value store and of its list of VMs, on an HTTP client for the event loop.
// Dependencies: core, libevent, jsoncpp.
#pragma once

#include <platform/http/HttpAnswer.h>
#include <platform/http/HttpCall.h>
#include <platform/http/HttpClient.h>
#include <platform/http/HttpFailure.h>
#include <platform/store/StoreClient.h>
#include <platform/store/StoreEntry.h>
#include <platform/store/StoreError.h>
#include <platform/store/StoreWrite.h>
#include <platform/store/WatchResult.h>
#include <platform/vms/RebootStatus.h>
#include <platform/vms/VmRecord.h>
