#include <coordinator/fleet/MoveTracker.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <jobs/tables/JobTables.h>

namespace Greengage {

void MoveTracker::begin(const VmInfo& vm)
{
    WorkerRow* worker = this->tables.findWorker(vm.worker);
    if (!worker)
        return;
    worker->isMoveOrdered = true;
    this->moves[vm.id] = { vm.pool, vm.worker, Deadline::never() };
}

void MoveTracker::cancel(const VmId& vm)
{
    auto move = this->moves.find(vm);
    if (move == this->moves.end())
        return;
    this->release(move->second);
    this->moves.erase(move);
}

void MoveTracker::settleBy(const VmId& vm, Deadline settled)
{
    if (auto move = this->moves.find(vm); move != this->moves.end())
        move->second.settled = settled;
}

void MoveTracker::settle(const std::map<VmId, VmInfo>& vms, Instant requestedAt)
{
    for (auto entry = this->moves.begin(); entry != this->moves.end();) {
        const Move& move = entry->second;
        auto listed = vms.find(entry->first);
        bool isUp = listed != vms.end() && listed->second.state == VmPhase::Up;
        bool isSameWorker = isUp && listed->second.worker == move.worker;
        bool hasMoved = isUp && listed->second.pool != move.from;
        bool hadNoEffect = isSameWorker && !hasMoved && move.settled.hasPassed(requestedAt);
        bool isWorkerGone = (isUp && !isSameWorker) || !this->tables.findWorker(move.worker);
        if (!hasMoved && !hadNoEffect && !isWorkerGone) {
            ++entry;
            continue;
        }
        if (hadNoEffect)
            writeLog(LogLevel::Warning,
                LogLine("move_without_effect")
                    .add("machine", entry->first.string())
                    .add("pool", move.from.string())
                    .add("worker", move.worker.string()));
        if (isSameWorker)
            this->release(move);
        entry = this->moves.erase(entry);
    }
}

void MoveTracker::release(const Move& move)
{
    if (auto* worker = this->tables.findWorker(move.worker))
        worker->isMoveOrdered = false;
}

} // namespace Greengage
