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

/// Writes the value of all allotments by compare-and-swap and passes on what is read of it, newest last.
class AllotmentWriter {
public:
    static constexpr const char* key = "limits/allotments";
    using Input = std::function<void(RequestInput)>;

    AllotmentWriter(event_base&, StoreClient&, Input input);

    void update(const UpdateAllotments&);

    /// The watch has brought a value.
    void take(const StoreEntry&);

private:
    void handleFailure(const StoreError&);
    void readBack();

    StoreClient& store;
    Input input;
    std::uint64_t newestVersion = 0;
    Timer retry;
};

} // namespace Greengage
