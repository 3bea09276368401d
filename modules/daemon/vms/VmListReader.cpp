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
    this->store.readVms([this](const Result<std::shared_ptr<const std::vector<VmRecord>>, StoreError>& vms) {
        if (vms.has_value() && vms.value() != this->newest) {
            this->newest = vms.value();
            this->listed(*this->newest);
        }
        this->timer.schedule(readInterval);
    });
}

} // namespace Greengage
