#include <fleet/requests/claims/ClaimManager.h>

#include <algorithm>
#include <core/text/Digest.h>
#include <fleet/requests/admission/Admission.h>
#include <fleet/requests/messages/ClaimSettled.h>
#include <fleet/requests/tables/RequestLifecycle.h>
#include <fleet/requests/tables/RequestTables.h>

namespace Greengage {

namespace {

/// Timeout for a claim to be settled.
constexpr Milliseconds claimTimeout { 2000 };
/// How long an unused claim is kept for a later submission of the same request.
constexpr Seconds unusedClaimRetention { 600 };

} // namespace

ClaimManager::ClaimManager(Tick& tick)
    : tick(tick)
{
}

std::string ClaimManager::storeKeyOf(const RequestRow& row) const
{
    auto digest = sha256Hex(row.queue.string() + "\n" + row.idempotencyKey);
    return "claims/" + (row.team.isEmpty() ? "-" : row.team.string()) + "/" + digest;
}

bool ClaimManager::isNeeded(RequestRow& row) const
{
    if (row.idempotent || row.idempotencyKey.empty() || row.claimed)
        return false;
    row.claimed = this->tick.tables.unusedClaims.erase(this->storeKeyOf(row)) > 0;
    return !row.claimed;
}

void ClaimManager::request(RequestRow& row)
{
    row.stage = RequestStage::Claiming;
    auto settleBy = std::min(row.deadline, Deadline::after(this->tick.now, claimTimeout));
    this->tick.outbox.emplace_back(WriteClaim { row.id, this->storeKeyOf(row), settleBy });
}

void ClaimManager::handle(const ClaimSettled& settled)
{
    auto& requests = this->tick.tables.requests;
    auto found = requests.find(settled.request);
    if (found == requests.end() || found->second.stage != RequestStage::Claiming)
        return;
    auto& row = found->second;
    RequestLifecycle lifecycle(this->tick);
    lifecycle.release(row);
    lifecycle.requeue(row);
    switch (settled.result) {
    case ClaimResult::Won:
        row.claimed = true;
        Admission(this->tick).recheckWaiting(row);
        return;
    case ClaimResult::Held:
        lifecycle.refuse(row, OutcomeReason::DuplicateRequest);
        return;
    case ClaimResult::NotMade:
    case ClaimResult::Unsettled:
        lifecycle.refuse(row, OutcomeReason::ClaimUnavailable);
        return;
    }
}

void ClaimManager::retainUnused(const RequestRow& row)
{
    auto& unused = this->tick.tables.unusedClaims;
    std::erase_if(unused, [&](const auto& entry) { return entry.second.hasPassed(this->tick.now); });
    if (row.claimed)
        unused[this->storeKeyOf(row)] = Deadline::after(this->tick.now, unusedClaimRetention);
}

} // namespace Greengage
