#pragma once

#include <fleet/requests/RequestInput.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Greengage {

class StoreClient;
struct StoreEntry;
struct StoreError;
struct UpdateAllotments;

/// Writes the stored value of all allotments by compare-and-swap, and forwards values read from the store. A value that
/// the store watch returns is forwarded only if it is newer than those before.
class AllotmentWriter {
public:
    static constexpr const char* key = "limits/allotments";
    /// Receives the inputs for the request plane.
    using OnInput = std::function<void(RequestInput)>;

    AllotmentWriter(event_base&, StoreClient&, OnInput onInput);

    void update(const UpdateAllotments&);

    /// Handles a value that the store watch returned.
    void handleEntry(const StoreEntry&);

private:
    void handleFailure(const StoreError&);
    void readBack();

    StoreClient& store;
    OnInput onInput;
    std::uint64_t newestVersion = 0;
    Timer retry;
};

} // namespace Greengage
