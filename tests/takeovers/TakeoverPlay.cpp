#include <tests/takeovers/TakeoverPlay.h>

namespace Greengage {

void TakeoverPlay::play(std::size_t rounds)
{
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
    this->world.submitJob(5);
    this->world.runFor(Seconds(3));
    for (std::size_t round = 0; round < rounds; ++round)
        this->playRound();
}

void TakeoverPlay::playRound()
{
    this->cutWorkers();
    if (this->happens(30)) {
        for (auto& daemon : this->world.daemons) {
            if (daemon)
                *daemon->store.faults = { false, false, 20, 20, 20, Milliseconds(0) };
        }
    }
    std::size_t losses = 1 + this->world.random() % 3;
    for (std::size_t loss = 0; loss < losses; ++loss) {
        if (!this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(6)))
            break;
        this->harmLeader();
        this->world.runFor(this->between(10, 5000));
    }
    this->world.runFor(this->between(500, 8000));
    this->healAll();
    if (!this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(6)))
        this->world.violations.push_back("no leader 6 s after the last fault");
    this->world.runFor(Seconds(3));
}

void TakeoverPlay::playRestarts(std::size_t rounds)
{
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
    this->world.submitJob(4);
    this->world.runFor(Seconds(3));
    for (std::size_t round = 0; round < rounds; ++round)
        this->playRoundOfRestarts();
}

void TakeoverPlay::playRoundOfRestarts()
{
    for (int step = 0; step < 8; ++step) {
        this->world.submitShortJob(1 + this->world.random() % 4, this->between(300, 6000));
        if (this->happens(60))
            this->harmWorker(WorkerId("w" + std::to_string(this->world.random() % 4)));
        if (this->happens(15))
            this->harmLeader();
        this->world.runFor(this->between(50, 2000));
    }
    this->world.runFor(Seconds(10));
    this->healAll();
    this->world.runCalmly(Seconds(9));
}

void TakeoverPlay::playOpenCopies(std::size_t rounds)
{
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
    this->world.submitJob(4);
    this->world.runFor(Seconds(3));
    for (std::size_t round = 0; round < rounds; ++round)
        this->playRoundOfOpenCopies();
}

void TakeoverPlay::playRoundOfOpenCopies()
{
    for (int step = 0; step < 4; ++step) {
        std::vector<WorkerId> harmed;
        for (const auto& id : this->world.workersInTouch()) {
            if (this->happens(70))
                harmed.push_back(id);
        }
        for (const auto& id : harmed)
            this->world.workerFaults[id].heldUpPercent = 20 + this->world.random() % 60;
        for (std::size_t number = 2 + this->world.random() % 4; number > 0; --number)
            this->world.submitShortJob(1 + this->world.random() % 4, this->between(100, 1500));
        this->world.runFor(this->between(150, 800));
        for (const auto& id : harmed)
            this->world.workerFaults[id].heldUpPercent = 0;
        // Most of the tasks have ended by now.
        this->world.runFor(this->between(500, 4000));
        for (const auto& id : harmed) {
            auto listedAfter = this->happens(70) ? std::optional(this->between(0, 1500)) : std::nullopt;
            this->world.restartWorker(id, this->between(50, 5000), listedAfter);
        }
        if (this->happens(20))
            this->harmLeader();
        this->world.runFor(this->between(3000, 8000));
    }
    this->world.runFor(Seconds(10));
    this->healAll();
    this->world.runCalmly(Seconds(9));
}

void TakeoverPlay::playHandOvers(std::size_t rounds)
{
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
    if (this->happens(50))
        this->world.submitJob(3, 1);
    else
        this->world.submitJob(5);
    this->world.runFor(Seconds(3));
    for (std::size_t round = 0; round < rounds; ++round)
        this->playRoundOfHandOvers();
}

void TakeoverPlay::playRoundOfHandOvers()
{
    std::size_t workersBefore = this->world.workersInTouch().size();
    bool isLeaderHarmed = this->happens(20);
    this->takeAwayWorker(!isLeaderHarmed);
    if (this->happens(30))
        this->takeAwayWorker(!isLeaderHarmed);
    if (this->happens(10))
        this->cutWorkers();
    if (isLeaderHarmed)
        TakeoverPlay::later(this->between(0, 2000), [this] { this->harmLeader(); });
    std::size_t handOvers = 2 + this->world.random() % 8;
    for (std::size_t number = 0; number < handOvers; ++number) {
        this->world.runFor(this->between(500, 5000));
        this->handOver();
        if (this->happens(5))
            this->world.returnWorkers();
    }
    this->world.runFor(this->between(500, 9000));
    this->world.returnWorkers();
    for (auto& daemon : this->world.daemons) {
        if (daemon)
            daemon->link.fake.unreachable.clear();
    }
    while (this->world.workersInTouch().size() < workersBefore)
        this->world.addWorker();
    this->world.runFor(this->between(500, 4000));
}

void TakeoverPlay::playChains(std::size_t rounds)
{
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(10));
    this->world.submitJob(4);
    this->world.runFor(Seconds(3));
    for (std::size_t round = 0; round < rounds; ++round)
        this->playRoundOfChains();
}

void TakeoverPlay::playRoundOfChains()
{
    if (this->happens(30)) {
        for (auto& daemon : this->world.daemons) {
            if (daemon)
                *daemon->store.faults = { false, false, 10, 30, 20, Milliseconds(0) };
        }
    }
    std::size_t leaders = 3 + this->world.random() % 6;
    for (std::size_t number = 0; number < leaders; ++number) {
        if (this->happens(40)) {
            for (auto& daemon : this->world.daemons) {
                if (daemon)
                    daemon->link.fake.unreachable.clear();
            }
            this->cutWorkers();
        }
        this->world.submitShortJob(1 + this->world.random() % 4, this->between(300, 6000));
        if (this->happens(30))
            this->haltLeader();
        this->world.runFor(this->between(10, 600));
        if (this->happens(35))
            TakeoverPlay::later(this->between(0, 1500),
                [this] { this->harmWorker(WorkerId("w" + std::to_string(this->world.random() % 4))); });
        if (this->happens(60))
            this->handOver();
        else
            this->harmLeader();
        if (this->happens(40))
            this->resetWorkersAfterChange();
        this->world.runFor(this->between(50, 3000));
    }
    this->world.runFor(Seconds(10));
    this->healAll();
    this->world.runCalmly(Seconds(9));
}

void TakeoverPlay::resetWorkersAfterChange()
{
    this->world.runUntil([this] { return !this->world.actingLeader(); }, Seconds(3));
    for (auto& daemon : this->world.daemons) {
        if (!daemon)
            continue;
        auto faults = daemon->store.faults;
        faults->commitDelay = this->between(50, 300);
        TakeoverPlay::later(Seconds(3), [faults] { faults->commitDelay = Milliseconds(0); });
    }
    for (int failure = 0; failure < 3; ++failure)
        this->world.failTask();
    this->world.runUntil([this] { return this->world.actingLeader(); }, Seconds(3));
    this->world.submitShortJob(4, this->between(300, 6000));
    this->world.runFor(this->between(1, 400));
    for (const auto& id : this->world.workersInTouch()) {
        if (!this->happens(50))
            continue;
        auto& faults = this->world.workerFaults[id];
        faults.isDown = true;
        faults.isResetting = true;
        TakeoverPlay::later(this->between(3000, 9000), [&faults] { faults.isDown = faults.isResetting = false; });
    }
}

void TakeoverPlay::haltLeader()
{
    if (ModelDaemon* leader = this->world.actingLeader())
        leader->process->standstillAtStart = this->between(400, 9000);
}

void TakeoverPlay::handOver()
{
    // A majority stays that can lead.
    auto stopping = static_cast<std::size_t>(std::count_if(this->world.daemons.begin(), this->world.daemons.end(),
        [](const auto& daemon) { return !daemon || daemon->isStopping; }));
    ModelDaemon* leader = this->world.actingLeader();
    if (!leader || 2 * (stopping + 1) > this->world.daemons.size())
        return;
    std::size_t index = this->world.indexOf(*leader);
    this->world.stop(index);
    TakeoverPlay::later(this->between(50, 3000), [this, index] { this->world.start(index); });
}

void TakeoverPlay::takeAwayWorker(bool mayBeCutOff)
{
    auto inTouch = this->world.workersInTouch();
    WorkerId id = inTouch[this->world.random() % inTouch.size()];
    Milliseconds delay = this->between(1, 1500);
    auto& faults = this->world.workerFaults[id];
    switch (this->world.random() % 3) {
    case 0:
        faults.losesAnswers = true;
        break;
    case 1:
        faults.heldUpPercent = 20 + this->world.random() % 80;
        break;
    default:
        break;
    }
    bool isCutOff = mayBeCutOff && this->happens(40);
    TakeoverPlay::later(delay, [this, id, isCutOff, keepsVm = this->happens(50)] {
        if (isCutOff)
            this->world.cutOffWorker(id);
        else
            this->world.loseWorker(id, keepsVm);
    });
    if (this->happens(70))
        TakeoverPlay::later(delay + this->between(0, 2000), [this] { this->world.addWorker(); });
    for (std::size_t number = this->world.random() % 4; number > 0; --number) {
        TakeoverPlay::later(this->between(0, 3000), [this] { this->world.failTask(); });
        TakeoverPlay::later(this->between(0, 3000),
            [this] { this->world.submitShortJob(1 + this->world.random() % 3, this->between(300, 6000)); });
    }
}

void TakeoverPlay::harmWorker(const WorkerId& id)
{
    WorkerFaults& faults = this->world.workerFaults[id];
    auto listedAfter = this->happens(70) ? std::optional(this->between(0, 1500)) : std::nullopt;
    switch (this->world.random() % 7) {
    case 0:
        this->world.restartWorker(id, this->between(20, 1000), listedAfter);
        break;
    case 1:
        if (!this->world.holdsCallsUp)
            break;
        faults.heldUpPercent = 20 + this->world.random() % 60;
        TakeoverPlay::later(this->between(300, 3000), [&faults] { faults.heldUpPercent = 0; });
        TakeoverPlay::later(this->between(200, 12'000), [this, id, down = this->between(20, 1000), listedAfter] {
            this->world.restartWorker(id, down, listedAfter);
        });
        break;
    case 2:
        faults.losesAnswers = true;
        TakeoverPlay::later(this->between(0, 500),
            [this, id, down = this->between(20, 300)] { this->world.restartWorker(id, down, std::nullopt); });
        TakeoverPlay::later(this->between(300, 1500), [&faults, cut = this->between(1000, 8000)] {
            faults.losesAnswers = false;
            faults.isDown = true;
            TakeoverPlay::later(cut, [&faults] { faults.isDown = false; });
        });
        break;
    case 3:
        this->cutWorkerFromOne(id);
        break;
    case 4:
        this->world.restartWorker(id, Milliseconds(20), listedAfter);
        TakeoverPlay::later(this->between(20, 200), [this, id] { this->cutWorkerFromOne(id); });
        break;
    case 5:
        this->hideWorker(id);
        break;
    default:
        faults.isDown = true;
        TakeoverPlay::later(this->between(300, 8000), [&faults] { faults.isDown = false; });
    }
}

void TakeoverPlay::cutWorkerFromOne(const WorkerId& id)
{
    ModelDaemon* leader = this->world.actingLeader();
    std::size_t index = leader && this->happens(60) ? this->world.indexOf(*leader)
                                                    : this->world.random() % this->world.daemons.size();
    auto setCut = [this, index, id](bool isCut) {
        if (!this->world.daemons[index])
            return;
        auto& unreachable = this->world.daemons[index]->link.fake.unreachable;
        if (isCut)
            unreachable.insert(id);
        else
            unreachable.erase(id);
    };
    setCut(true);
    TakeoverPlay::later(this->between(300, 8000), [setCut] { setCut(false); });
}

void TakeoverPlay::hideWorker(const WorkerId& id)
{
    this->world.noteDisruption();
    for (std::size_t index = 0; index < this->world.daemons.size(); ++index) {
        this->world.tellOfWorker(index, id, false);
        TakeoverPlay::later(this->between(50, 4000), [this, index, id] {
            this->world.noteDisruption();
            this->world.tellOfWorker(index, id, true);
        });
    }
}

void TakeoverPlay::harmLeader()
{
    ModelDaemon* leader = this->world.actingLeader();
    if (!leader)
        return;
    std::size_t index = this->world.indexOf(*leader);
    switch (this->world.random() % 8) {
    case 0:
        this->world.kill(index);
        TakeoverPlay::later(this->between(200, 8000), [this, index] { this->world.start(index); });
        break;
    case 1:
    case 2:
        this->world.freeze(index, this->between(200, 8000));
        break;
    case 3:
        this->world.stop(index);
        TakeoverPlay::later(this->between(50, 3000), [this, index] { this->world.start(index); });
        break;
    case 4:
        this->world.noteDisruption();
        VirtualLoop::shared().runAs(leader->process, [leader] {
            leader->coordinator.handleError({ ErrorEffect::StateInDoubt, "injected", {} });
        });
        break;
    default:
        this->harmStoreAccess(*leader);
    }
}

void TakeoverPlay::harmStoreAccess(ModelDaemon& daemon)
{
    auto faults = daemon.store.faults;
    switch (this->world.random() % 3) {
    case 0:
        faults->isCutOff = true;
        break;
    case 1:
        faults->isRefusing = true;
        break;
    default:
        *faults = { false, false, 60, 40, 60, Milliseconds(0) };
    }
    TakeoverPlay::later(this->between(300, 6000), [faults] { *faults = {}; });
}

void TakeoverPlay::cutWorkers()
{
    for (const auto& [id, worker] : this->world.workers.workers) {
        if (!this->happens(40))
            continue;
        for (auto& daemon : this->world.daemons) {
            if (daemon && this->happens(50))
                daemon->link.fake.unreachable.insert(id);
        }
    }
}

void TakeoverPlay::healAll()
{
    for (std::size_t index = 0; index < this->world.daemons.size(); ++index) {
        auto& daemon = this->world.daemons[index];
        if (!daemon)
            this->world.start(index);
        daemon->process->frozenUntil = std::min(daemon->process->frozenUntil, BootClock::now());
        *daemon->store.faults = {};
        daemon->link.fake.unreachable.clear();
    }
    for (auto& [id, faults] : this->world.workerFaults)
        faults = {};
}

void TakeoverPlay::later(Milliseconds delay, std::function<void()> action)
{
    VirtualLoop::shared().schedule(delay, nullptr, std::move(action));
}

Milliseconds TakeoverPlay::between(std::int64_t least, std::int64_t most)
{
    return Milliseconds(least + static_cast<std::int64_t>(this->world.random() % (most - least)));
}

} // namespace Greengage
