// Purpose: client for the platform's key-value store and VM list, with the HTTP client that it is built on.
// Dependencies: core, loop, libevent, jsoncpp.
#pragma once

#include <store/http/HttpClient.h>
#include <store/http/HttpFailure.h>
#include <store/http/HttpRequest.h>
#include <store/http/HttpResponse.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreError.h>
#include <store/store/StoreWrite.h>
#include <store/store/WatchResult.h>
#include <store/vms/RebootStatus.h>
#include <store/vms/VmRecord.h>
