#include <daemon/claims/ClaimWriter.h>

#include <config/json/JsonText.h>
#include <core/time/BootClock.h>
#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>

namespace Greengage {

namespace {

constexpr Milliseconds checkInterval { 100 };

} // namespace

ClaimWriter::ClaimWriter(event_base& base, StoreClient& store, IncarnationId self, OnSettled onSettled)
    : store(store)
    , self(std::move(self))
    , onSettled(std::move(onSettled))
    , lease(store)
    , timer(base, [this] { this->handleTimer(); })
{
}

void ClaimWriter::write(const WriteClaim& command)
{
    std::uint64_t id = this->nextClaim++;
    this->claims.emplace(id, Claim { command, false });
    if (this->claims.size() == 1)
        this->timer.schedule(checkInterval);
    this->attempt(id);
}

void ClaimWriter::attempt(std::uint64_t id)
{
    this->lease.acquire([this, id](const Result<std::string, StoreError>& leaseId) {
        if (leaseId.has_value())
            this->create(id, leaseId.value());
        else
            this->retryLater(id);
    });
}

void ClaimWriter::create(std::uint64_t id, const std::string& leaseId)
{
    auto found = this->claims.find(id);
    if (found == this->claims.end())
        return;
    if (found->second.command.settleBy.hasPassed(BootClock::now())) {
        this->settle(id, found->second.mayBeWritten ? ClaimResult::Unsettled : ClaimResult::NotMade);
        return;
    }
    StoreWrite write { found->second.command.storeKey, this->valueOf(found->second), 0, leaseId };
    // Until the answer arrives, the claim may exist in the store.
    bool mayBeWrittenBefore = std::exchange(found->second.mayBeWritten, true);
    this->store.write(write, [this, id, leaseId, mayBeWrittenBefore](Result<std::uint64_t, StoreError> written) {
        auto answered = this->claims.find(id);
        if (answered == this->claims.end())
            return;
        if (written.has_value()) {
            this->settle(id, ClaimResult::Won);
            return;
        }
        bool hadNoEffect
            = written.error().code == StoreErrorCode::NotSent || written.error().code == StoreErrorCode::LeaseExpired;
        if (hadNoEffect)
            answered->second.mayBeWritten = mayBeWrittenBefore;
        this->handleFailure(id, leaseId, written.error());
    });
}

void ClaimWriter::handleFailure(std::uint64_t id, const std::string& leaseId, const StoreError& error)
{
    switch (error.code) {
    case StoreErrorCode::LeaseExpired:
        this->lease.discard(leaseId);
        this->retryLater(id);
        return;
    case StoreErrorCode::NotSent:
    case StoreErrorCode::NotFound:
        this->retryLater(id);
        return;
    case StoreErrorCode::Conflict:
    case StoreErrorCode::AnswerLost:
    case StoreErrorCode::Malformed:
        this->readBack(id);
        return;
    }
}

void ClaimWriter::readBack(std::uint64_t id)
{
    auto found = this->claims.find(id);
    if (found == this->claims.end())
        return;
    this->store.read(found->second.command.storeKey, [this, id](Result<StoreEntry, StoreError> entry) {
        auto answered = this->claims.find(id);
        if (answered == this->claims.end())
            return;
        if (!entry.has_value())
            this->retryLater(id);
        else if (entry.value().value == this->valueOf(answered->second))
            this->settle(id, ClaimResult::Won);
        else
            this->settle(id, ClaimResult::Held);
    });
}

void ClaimWriter::retryLater(std::uint64_t id)
{
    if (this->claims.contains(id))
        this->retryQueue.push_back(id);
}

void ClaimWriter::handleTimer()
{
    Instant now = BootClock::now();
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, claim] : this->claims) {
        if (claim.command.settleBy.hasPassed(now))
            overdue.push_back(id);
    }
    for (std::uint64_t id : overdue)
        this->settle(id, this->claims.at(id).mayBeWritten ? ClaimResult::Unsettled : ClaimResult::NotMade);
    std::vector<std::uint64_t> retried = std::move(this->retryQueue);
    this->retryQueue.clear();
    for (std::uint64_t id : retried) {
        if (this->claims.contains(id))
            this->attempt(id);
    }
    if (!this->claims.empty())
        this->timer.schedule(checkInterval);
}

void ClaimWriter::settle(std::uint64_t id, ClaimResult result)
{
    auto found = this->claims.find(id);
    ClaimSettled message { found->second.command.request, result };
    this->claims.erase(found);
    this->onSettled(std::move(message));
}

std::string ClaimWriter::valueOf(const Claim& claim) const
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = this->self.string();
    value["request"] = claim.command.request.string();
    return writeJson(value);
}

} // namespace Greengage
