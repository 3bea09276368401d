// Purpose: the client of the platform's key-value store and of its list of VMs, on an HTTP client for the event loop.
// Dependencies: core, loop, libevent, jsoncpp.
#pragma once

#include <store/http/HttpAnswer.h>
#include <store/http/HttpCall.h>
#include <store/http/HttpClient.h>
#include <store/http/HttpFailure.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreError.h>
#include <store/store/StoreWrite.h>
#include <store/store/WatchResult.h>
#include <store/vms/RebootStatus.h>
#include <store/vms/VmRecord.h>
