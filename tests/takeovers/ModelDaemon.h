#pragma once

#include <coordinator/placing/Coordinator.h>
#include <coordinator/service/JobService.h>
#include <coordinator/tests/FakeAdvice.h>
#include <tests/takeovers/ModelLink.h>
#include <tests/takeovers/ModelStore.h>

#include <memory>

namespace Greengage {

/// One incarnation of a daemon of the model.
struct ModelDaemon {
    ModelDaemon(event_base& base, ModelTables& tables, std::mt19937_64& random, FakeWorkers& workers, FakeLink& network,
        ModelLink::Faults& faults, ReleaseCheck& releases, ModelLink::OnLease onLease, ModelLink::OnStart onStart,
        const DaemonId& id, const IncarnationId& incarnation, const CoordinatorLimits& limits)
        : store(tables, random)
        , link(base, workers, network, faults, random, releases, std::move(onLease), std::move(onStart))
        , vms(base)
        , advice(base)
        , coordinator(base, this->store, this->link, this->vms, this->advice, id, incarnation, limits)
        , jobService(this->store)
    {
    }

    bool mayAct(Instant now) { return this->coordinator.leadershipState().mayAct(now); }
    std::int64_t token() { return this->coordinator.leadershipState().currentTerm().fencingToken; }

    std::shared_ptr<Process> process = std::make_shared<Process>();
    /// Whether it has been told to stop, as before a planned restart.
    bool isStopping = false;
    ModelStore store;
    ModelLink link;
    FakeVms vms;
    FakeAdvice advice;
    Coordinator<ModelStore, ModelLink, FakeVms, FakeAdvice> coordinator;
    JobService<ModelStore> jobService;
};

} // namespace Greengage
