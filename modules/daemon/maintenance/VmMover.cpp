#include <daemon/maintenance/VmMover.h>

#include <core/log/Log.h>
#include <core/log/LogLine.h>
#include <core/text/Digest.h>
#include <core/time/BootClock.h>
#include <daemon/configuration/KnownConfiguration.h>
#include <daemon/maintenance/PoolEdit.h>

namespace Greengage {

namespace {

constexpr std::size_t changeIdDigits = 32;

/// The change id depends only on the move, so a move that several daemons submit is stored once.
std::string changeIdOf(const MoveVm& move)
{
    std::string text = move.vm.string() + " " + move.from.string() + " " + move.to.string() + " "
        + std::to_string(move.baseRevision);
    return "move-" + sha256Hex(text).substr(0, changeIdDigits);
}

} // namespace

VmMover::VmMover(event_base& base, StoreClient& store, const KnownConfiguration& configuration, OnStored onStored)
    : base(base)
    , store(store)
    , configuration(configuration)
    , onStored(std::move(onStored))
{
}

void VmMover::move(const MoveVm& move)
{
    bool isBusy = this->submitter && !this->submitter->isFinished();
    if (isBusy || this->configuration.appliedRevision() != move.baseRevision || !this->configuration.record)
        return;
    auto text = moveVmInText(this->configuration.record->text, move.vm, move.from, move.to);
    if (!text) {
        if (this->log.admit("move_not_editable", BootClock::now()))
            writeLog(LogLevel::Error,
                LogLine("move_not_editable")
                    .add("vm", move.vm.string())
                    .add("from", move.from.string())
                    .add("to", move.to.string()));
        return;
    }
    DocumentSubmission submission { changeIdOf(move), "maintenance", move.baseRevision, std::move(*text) };
    this->submitter = std::make_unique<DocumentSubmitter>(this->base, this->store, std::move(submission),
        [this, move](const SubmissionOutcome& outcome) { this->handleOutcome(move, outcome); });
    this->submitter->requireNewestBase();
    this->submitter->start();
}

void VmMover::handleOutcome(const MoveVm& move, const SubmissionOutcome& outcome)
{
    const auto* record = std::get_if<DocumentRecord>(&outcome);
    if (!record)
        return;
    writeLog(LogLevel::Info,
        LogLine("vm_moved")
            .add("vm", move.vm.string())
            .add("from", move.from.string())
            .add("to", move.to.string())
            .add("revision", record->revision));
    this->onStored(*record);
}

} // namespace Greengage
