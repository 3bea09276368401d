#pragma once

#include <coordinator/placing/Coordinator.h>
#include <coordinator/service/JobService.h>
#include <coordinator/tests/FakeAdvice.h>
#include <coordinator/tests/FakeWorkers.h>
#include <coordinator/tests/LoopFixture.h>
#include <coordinator/tests/MemoryStore.h>

#include <memory>
#include <optional>
#include <vector>

namespace Greengage {

/// One daemon: a coordinator and a job service, with access to the stand-ins for store and workers.
struct FakeDaemon {
    static constexpr Milliseconds leaseDuration { 4000 };
    static constexpr Milliseconds longestGrantedLease { 6000 };
    static constexpr Milliseconds endedJobRetention { 3000 };
    using TestCoordinator = Coordinator<MemoryStore, FakeLink, FakeVms, FakeAdvice>;

    FakeDaemon(event_base& base, MemoryTables& tables, FakeWorkers& workers, const char* name, const char* incarnation)
        : store(base, tables)
        , link(base, workers)
        , vmService(base)
        , advice(base)
        , coordinator(base, this->store, this->link, this->vmService, this->advice, DaemonId(name),
              IncarnationId(incarnation), { leaseDuration, longestGrantedLease, Milliseconds(0), endedJobRetention })
        , jobService(this->store)
    {
        auto policies = std::make_shared<JobPolicies>();
        policies->version = 1;
        policies->pools[PoolId("north")] = { PoolId("north"), false, true };
        QueuePolicy queue;
        queue.id = QueueId("quick");
        queue.pool = PoolId("north");
        queue.maxAttempts = 3;
        policies->queues[queue.id] = queue;
        queue.id = QueueId("advised");
        queue.advice = AdvicePolicy { Milliseconds(5), Milliseconds(1), Milliseconds(3000) };
        policies->queues[queue.id] = queue;
        this->coordinator.setPolicies(policies);
        this->coordinator.onWorkerWatchNeeded([this](bool isNeeded) {
            if (isNeeded)
                this->coordinator.setWorkers(FakeDaemon::directory());
        });
    }

    /// What the directory says of workers that have not restarted.
    static std::vector<WorkerInfo> directory()
    {
        std::vector<WorkerInfo> workers;
        for (const char* name : { "w1", "w2" }) {
            WorkerInfo info;
            info.id = WorkerId(name);
            info.pool = PoolId("north");
            info.capacity = { 8000, 64'000, 0 };
            info.incarnationUnixMs = 1;
            workers.push_back(info);
        }
        return workers;
    }

    /// Has each worker of the directory shown on a VM of its own that is up.
    void listVms()
    {
        this->vmService.vms.clear();
        for (const auto& info : FakeDaemon::directory()) {
            VmInfo vm;
            vm.id = VmId("m-" + info.id.string());
            vm.pool = info.pool;
            vm.state = VmPhase::Up;
            vm.capacity = info.capacity;
            vm.worker = info.id;
            this->vmService.vms.push_back(vm);
        }
    }

    MemoryStore store;
    FakeLink link;
    FakeVms vmService;
    FakeAdvice advice;
    TestCoordinator coordinator;
    JobService<MemoryStore> jobService;
};

struct CoordinatorFixture : LoopFixture {
    CoordinatorFixture() { this->first = this->makeDaemon("first", "1"); }

    std::unique_ptr<FakeDaemon> makeDaemon(const char* name, const char* incarnation)
    {
        return std::make_unique<FakeDaemon>(*this->base, this->tables, this->workers, name, incarnation);
    }

    JobRecord job(const std::string& id, std::uint32_t tasks)
    {
        JobRecord record;
        record.id = JobId(id);
        record.queue = QueueId("quick");
        StepSpec step;
        step.taskCount = tasks;
        step.demand = { 100, 10, 0 };
        step.estimate = Milliseconds(100);
        record.spec.steps = { step };
        return record;
    }

    JobRequestOutcome submit(FakeDaemon& daemon, const JobRecord& record)
    {
        std::optional<JobRequestOutcome> outcome;
        daemon.jobService.submit(record, Deadline::after(BootClock::now(), Milliseconds(500)),
            [&outcome](JobRequestOutcome result) { outcome = result; });
        this->runUntil([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    JobStateAnswer state(FakeDaemon& daemon, const std::string& id)
    {
        std::optional<JobStateAnswer> answer;
        daemon.jobService.findState(JobId(id), [&answer](JobStateAnswer result) { answer = result; });
        this->runUntil([&answer] { return answer.has_value(); });
        return *answer;
    }

    /// The worker that runs all tasks of a small job, since tasks are packed.
    WorkerId busiestWorker()
    {
        return this->workers.workers[WorkerId("w1")].running.empty() ? WorkerId("w2") : WorkerId("w1");
    }

    bool isCompleted(const std::string& id) const { return this->tables.items.contains("gg/done/" + id); }

    MemoryTables tables;
    FakeWorkers workers;
    std::unique_ptr<FakeDaemon> first;
    std::unique_ptr<FakeDaemon> second;
};

} // namespace Greengage
