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

/// The same for every daemon that carries out the same move, so that it is made once.
std::string changeIdOf(const MoveVm& move)
{
    std::string text = move.vm.string() + " " + move.from.string() + " " + move.to.string() + " "
        + std::to_string(move.baseRevision);
    return "move-" + sha256Hex(text).substr(0, changeIdDigits);
}

} // namespace

VmMover::VmMover(event_base& base, StoreClient& store, const KnownConfiguration& configuration, Stored stored)
    : base(base)
    , store(store)
    , configuration(configuration)
    , stored(std::move(stored))
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
        [this, move](const SubmissionEnd& end) { this->handleEnd(move, end); });
    this->submitter->requireNewestBase();
    this->submitter->start();
}

void VmMover::handleEnd(const MoveVm& move, const SubmissionEnd& end)
{
    const auto* record = std::get_if<DocumentRecord>(&end);
    if (!record)
        return;
    writeLog(LogLevel::Info,
        LogLine("vm_moved")
            .add("vm", move.vm.string())
            .add("from", move.from.string())
            .add("to", move.to.string())
            .add("revision", record->revision));
    this->stored(*record);
}

} // namespace Greengage
