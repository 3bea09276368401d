// Purpose: the client of the platform's key-value store and of its list of VMs.
// Dependencies: core, libevent, jsoncpp.
#pragma once

#include <platform/store/StoreClient.h>
#include <platform/store/StoreEntry.h>
#include <platform/store/StoreError.h>
#include <platform/store/StoreWrite.h>
#include <platform/store/WatchResult.h>
#include <platform/vms/VmRecord.h>
