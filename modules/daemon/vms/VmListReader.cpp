#include <daemon/vms/VmListReader.h>

#include <platform/store/StoreClient.h>

namespace Greengage {

namespace {

constexpr Milliseconds readInterval { 2000 };

} // namespace

VmListReader::VmListReader(event_base& base, StoreClient& store, Listed listed)
    : store(store)
    , listed(std::move(listed))
    , timer(base, [this] { this->read(); })
{
}

void VmListReader::read()
{
    this->store.readVms([this](const Result<std::vector<VmRecord>, StoreError>& vms) {
        if (vms.has_value())
            this->listed(vms.value());
        this->timer.schedule(readInterval);
    });
}

} // namespace Greengage
