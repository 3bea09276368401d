#include <fleet/maintenance/messages/LedgerRead.h>
#include <fleet/maintenance/systems/LedgerReplica.h>

namespace Greengage {

namespace {

constexpr Seconds readRetryInterval(1);

} // namespace

Result<std::vector<WaveEvent>, LedgerError> LedgerReplica::apply(Instant now, const LedgerRead& read)
{
    this->isReadInFlight = false;
    if (read.version < this->version)
        return std::vector<WaveEvent> {};
    auto decoded = MaintenanceLedger::decode(read.value);
    if (!decoded) {
        this->isKnown = false;
        this->nextReadAt = now + readRetryInterval;
        return decoded.error();
    }
    this->newest = std::move(decoded.value());
    this->version = read.version;
    this->confirmed = std::max(this->confirmed, read.askedAt);
    this->isKnown = true;
    if (!this->write || read.value != this->write->value)
        return std::vector<WaveEvent> {};
    auto events = std::move(this->write->events);
    this->write.reset();
    return events;
}

void LedgerReplica::recordWriteFailure()
{
    this->isKnown = false;
    if (this->write)
        this->write->isInFlight = false;
}

void LedgerReplica::recordReadFailure(Instant now)
{
    this->isReadInFlight = false;
    this->nextReadAt = now + readRetryInterval;
}

bool LedgerReplica::beginReadIfNeeded(Instant now, Instant neededSince)
{
    const bool isNeeded = !this->isKnown || this->confirmed < neededSince;
    if (!isNeeded || this->isReadInFlight || now < this->nextReadAt)
        return false;
    this->isReadInFlight = true;
    return true;
}

std::uint64_t LedgerReplica::beginWrite(std::string value, std::vector<WaveEvent> events)
{
    this->write = LedgerWrite { this->version, std::move(value), std::move(events), true };
    return this->version;
}

} // namespace Greengage
