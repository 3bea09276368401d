#pragma once

#include <tests/takeovers/ModelWorld.h>

namespace Greengage {

/// Plays take-overs drawn from a seed: leaders that are killed, frozen, cut off, refused or misled by the store, alone
/// and in chains.
class TakeoverPlay {
public:
    TakeoverPlay(std::uint64_t seed, std::size_t daemonCount)
        : world(seed, daemonCount)
    {
    }

    void play(std::size_t rounds);

    /// Plays workers that crash and start again under their ids, around calls that are held up or lose their answers,
    /// with lost leaders in between.
    void playRestarts(std::size_t rounds);

    /// Plays workers that crash after the ends of their tasks are stored, while copies of the start orders are held up,
    /// and start again after up to 5 s.
    void playOpenCopies(std::size_t rounds);

    /// Plays chains of planned hand-overs after workers were lost or cut off, around start orders without an answer.
    void playHandOvers(std::size_t rounds);

    /// Plays chains of leaders, planned and lost ones, each of which reaches other workers, with workers that start
    /// again, writes that are late, and leaders that stand still between an order and the time at which it leaves.
    void playChains(std::size_t rounds);

    ModelWorld world;

private:
    void playRound();
    void playRoundOfRestarts();
    void playRoundOfOpenCopies();
    void playRoundOfHandOvers();
    void playRoundOfChains();
    void handOver();
    /// Resets the connections to workers soon after the next leader has begun, while ends are being stored.
    void resetWorkersAfterChange();
    /// Has the leader stand still when it sends its next start order.
    void haltLeader();
    /// Ends a worker, or cuts it off until the end of the round, and has tasks start just before and after.
    void takeAwayWorker(bool mayBeCutOff);
    void harmWorker(const WorkerId&);
    /// Cuts the worker off from one daemon, more often than not from the leader.
    void cutWorkerFromOne(const WorkerId&);
    /// The entry of the worker vanishes from the directory for a while.
    void hideWorker(const WorkerId&);
    void harmLeader();
    void harmStoreAccess(ModelDaemon& daemon);
    void cutWorkers();
    void healAll();

    /// Runs the action after the delay, unless the world has ended.
    static void later(Milliseconds delay, std::function<void()> action);
    Milliseconds between(std::int64_t least, std::int64_t most);
    bool happens(unsigned percent) { return this->world.random() % 100 < percent; }
};

} // namespace Greengage
