#include <fleet/placement/model/Attempt.h>
#include <fleet/placement/systems/WorkerTable.h>

#include <algorithm>

namespace Greengage {

namespace {

constexpr int maxCandidates = 24;

Resources& reservationOf(WorkerEntry& worker, const Attempt& attempt)
{
    return attempt.phase == AttemptPhase::Awaiting ? worker.awaited : worker.held;
}

} // namespace

bool WorkerEntry::isUsable() const
{
    if (!this->isListed || this->record.isDraining)
        return false;
    if (this->health == WorkerHealth::Probing)
        return this->attempts.empty();
    return this->health == WorkerHealth::Healthy;
}

std::vector<WorkerId> WorkerTable::apply(const std::vector<WorkerRecord>& records)
{
    std::vector<WorkerId> booted;
    for (auto& [id, worker] : this->entries)
        worker.isListed = false;
    for (const auto& record : records) {
        auto& worker = this->entries[record.id];
        if (worker.record.boot != 0 && record.boot > worker.record.boot)
            booted.push_back(record.id);
        worker.record = record;
        worker.isListed = true;
    }
    std::erase_if(
        this->entries, [](const auto& entry) { return !entry.second.isListed && entry.second.attempts.empty(); });
    this->byFree.clear();
    this->byName.clear();
    this->totalCapacity = {};
    for (auto& [id, worker] : this->entries) {
        worker.isIndexed = false;
        this->reindex(worker);
    }
    return booted;
}

WorkerEntry* WorkerTable::find(const WorkerId& id)
{
    auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

void WorkerTable::reindex(WorkerEntry& worker)
{
    const bool wasIndexed = worker.isIndexed;
    const double free = worker.free().processors;
    worker.isIndexed = worker.isUsable();
    if (wasIndexed && worker.isIndexed && free == worker.indexedFree)
        return;
    if (wasIndexed)
        this->byFree.erase({ worker.indexedFree, worker.record.id });
    if (worker.isIndexed)
        this->byFree.insert({ free, worker.record.id });
    worker.indexedFree = free;
    if (wasIndexed == worker.isIndexed)
        return;
    if (worker.isIndexed) {
        this->byName.insert(worker.record.id);
        this->totalCapacity = this->totalCapacity + worker.record.capacity;
    } else {
        this->byName.erase(worker.record.id);
        this->totalCapacity = this->totalCapacity - worker.record.capacity;
    }
}

void WorkerTable::add(const Attempt& attempt)
{
    auto& worker = this->entries.at(attempt.worker);
    auto& reservation = reservationOf(worker, attempt);
    reservation = reservation + attempt.reserved;
    worker.attempts.push_back(attempt.number);
    this->reindex(worker);
}

void WorkerTable::markHeld(const Attempt& attempt)
{
    auto& worker = this->entries.at(attempt.worker);
    worker.awaited = worker.awaited - attempt.reserved;
    worker.held = worker.held + attempt.reserved;
}

void WorkerTable::remove(const Attempt& attempt)
{
    auto& worker = this->entries.at(attempt.worker);
    auto& reservation = reservationOf(worker, attempt);
    reservation = reservation - attempt.reserved;
    std::erase(worker.attempts, attempt.number);
    if (worker.attempts.empty()) {
        worker.held = {};
        worker.awaited = {};
    }
    this->reindex(worker);
}

Resources WorkerTable::largest() const
{
    Resources largest;
    for (const auto& [id, worker] : this->entries)
        largest = largest.max(worker.record.capacity);
    return largest;
}

WorkerEntry* WorkerTable::findFirstFit(const Resources& needed, const std::function<bool(const WorkerEntry&)>& accepts)
{
    for (const auto& id : this->byName) {
        auto& worker = this->entries.at(id);
        if (needed.fitsWithin(worker.free()) && accepts(worker))
            return &worker;
    }
    return nullptr;
}

WorkerEntry* WorkerTable::findFit(
    const Resources& needed, bool tightly, const std::function<bool(const WorkerEntry&)>& accepts)
{
    if (!tightly)
        return this->findFirstFit(needed, accepts);
    auto accept = [&](const WorkerId& id) -> WorkerEntry* {
        auto& worker = this->entries.at(id);
        return needed.fitsWithin(worker.free()) && accepts(worker) ? &worker : nullptr;
    };
    int examined = 0;
    auto first = this->byFree.lower_bound({ needed.processors - 1e-6, WorkerId() });
    for (auto candidate = first; candidate != this->byFree.end() && examined < maxCandidates; ++candidate, ++examined) {
        if (auto* worker = accept(candidate->second))
            return worker;
    }
    examined = 0;
    for (auto candidate = this->byFree.end(); candidate != first && examined < maxCandidates; ++examined) {
        --candidate;
        if (auto* worker = accept(candidate->second))
            return worker;
    }
    return nullptr;
}

} // namespace Greengage
