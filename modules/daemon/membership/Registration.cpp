#include <daemon/membership/Registration.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <daemon/membership/MemberCodec.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>

namespace Greengage {

namespace {

constexpr Milliseconds leaseTimeToLive { 10000 };
constexpr Milliseconds renewInterval { 3000 };
constexpr Milliseconds retryDelay { 500 };

} // namespace

Registration::Registration(event_base& base, StoreClient& store, MemberRecord self)
    : store(store)
    , self(std::move(self))
    , key("members/" + this->self.incarnation.string())
    , timer(base, [this] { this->step(); })
{
}

void Registration::step()
{
    if (this->deregistered)
        return;
    if (this->leaseId.empty())
        this->grant();
    else if (this->version == 0)
        this->write();
    else
        this->renew();
}

void Registration::grant()
{
    this->store.grantLease(leaseTimeToLive, [this](Result<std::string, StoreError> lease) {
        if (lease.has_value())
            this->leaseId = lease.value();
        this->scheduleStep(lease.has_value() ? Milliseconds::zero() : retryDelay);
    });
}

void Registration::write()
{
    StoreWrite write { this->key, MemberCodec::encode(this->self), 0, this->leaseId };
    this->store.write(write, [this](Result<std::uint64_t, StoreError> written) {
        if (written.has_value()) {
            this->version = written.value();
            writeLog(LogLevel::Info, LogLine("member_registered").add("incarnation", this->self.incarnation.string()));
            this->scheduleStep(renewInterval);
            return;
        }
        switch (written.error().code) {
        case StoreErrorCode::LeaseExpired:
            this->leaseId.clear();
            this->scheduleStep(Milliseconds::zero());
            return;
        case StoreErrorCode::NotSent:
        case StoreErrorCode::NotFound:
            this->scheduleStep(retryDelay);
            return;
        case StoreErrorCode::Conflict:
        case StoreErrorCode::AnswerLost:
        case StoreErrorCode::Malformed:
            this->readBack();
            return;
        }
    });
}

/// A write whose answer was lost may have stored the key. Only this incarnation writes it, so any value found is its
/// own.
void Registration::readBack()
{
    this->store.read(this->key, [this](Result<StoreEntry, StoreError> entry) {
        if (entry.has_value())
            this->version = entry.value().version;
        this->scheduleStep(entry.has_value() ? renewInterval : retryDelay);
    });
}

void Registration::renew()
{
    this->store.renewLease(this->leaseId, [this](Result<bool, StoreError> renewed) {
        if (renewed.has_value()) {
            this->scheduleStep(renewInterval);
            return;
        }
        bool hasExpired = renewed.error().code == StoreErrorCode::LeaseExpired;
        if (hasExpired) {
            writeLog(LogLevel::Warning, LogLine("member_lease_expired").add("lease", this->leaseId));
            this->leaseId.clear();
            this->version = 0;
        }
        this->scheduleStep(hasExpired ? Milliseconds::zero() : retryDelay);
    });
}

void Registration::deregister(std::function<void()> done)
{
    this->deregistered = true;
    this->timer.cancel();
    if (this->version == 0) {
        done();
        return;
    }
    this->store.erase(this->key, this->version, [done = std::move(done)](const Result<bool, StoreError>&) { done(); });
}

} // namespace Greengage
