#include <daemon/vms/VmListReader.h>

#include <store/store/StoreClient.h>

namespace Greengage {

namespace {

constexpr Milliseconds readInterval { 2000 };

} // namespace

VmListReader::VmListReader(event_base& base, StoreClient& store, Handlers handlers)
    : store(store)
    , handlers(std::move(handlers))
    , timer(base, [this] { this->read(); })
{
}

void VmListReader::read()
{
    this->store.readVms([this](const Result<std::shared_ptr<const std::vector<VmRecord>>, StoreError>& vms) {
        if (vms.has_value() && vms.value() != this->newest) {
            this->newest = vms.value();
            this->handlers.onChanged(*this->newest);
        } else if (vms.has_value())
            this->handlers.onUnchanged();
        this->timer.schedule(readInterval);
    });
}

} // namespace Greengage
