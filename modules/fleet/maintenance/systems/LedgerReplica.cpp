#include <fleet/maintenance/messages/LedgerRead.h>
#include <fleet/maintenance/systems/LedgerReplica.h>

namespace Greengage {

namespace {

constexpr Seconds readRetryInterval(1);

} // namespace

Result<std::vector<WaveEvent>, LedgerError> LedgerReplica::apply(Instant now, const LedgerRead& read)
{
    this->isReadUnderWay = false;
    if (read.version < this->version)
        return std::vector<WaveEvent> {};
    auto decoded = MaintenanceLedger::decode(read.value);
    if (!decoded) {
        this->isKnown = false;
        this->readAgainAt = now + readRetryInterval;
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

void LedgerReplica::noteWriteFailed()
{
    this->isKnown = false;
    if (this->write)
        this->write->isUnderWay = false;
}

void LedgerReplica::noteReadFailed(Instant now)
{
    this->isReadUnderWay = false;
    this->readAgainAt = now + readRetryInterval;
}

bool LedgerReplica::takeReadRequest(Instant now, Instant neededSince)
{
    const bool isNeeded = !this->isKnown || this->confirmed < neededSince;
    if (!isNeeded || this->isReadUnderWay || now < this->readAgainAt)
        return false;
    this->isReadUnderWay = true;
    return true;
}

std::uint64_t LedgerReplica::beginWrite(std::string value, std::vector<WaveEvent> events)
{
    this->write = LedgerWrite { this->version, std::move(value), std::move(events), true };
    return this->version;
}

} // namespace Greengage
