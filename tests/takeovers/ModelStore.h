#pragma once

#include <coordinator/store/SharedStore.h>
#include <tests/takeovers/ModelTables.h>
#include <tests/takeovers/VirtualLoop.h>

#include <memory>
#include <random>
#include <string>

namespace Greengage {

/// How the store and the way to it behave for one daemon.
struct StoreFaults {
    /// No call arrives, and no answer.
    bool isCutOff = false;
    /// Calls are refused at once.
    bool isRefusing = false;
    /// Of 100 answers, how many are lost.
    unsigned lostAnswers = 0;
    /// Of 100 commits, how many are applied up to `longestDelay` later.
    unsigned lateCommits = 0;
    /// Of 100 answers, how many arrive late, but in time.
    unsigned lateAnswers = 0;
    /// How long commits take to reach the store.
    Milliseconds commitDelay { 0 };
    /// Watches of this prefix get no answer.
    std::string silentWatch = {};

    bool operator==(const StoreFaults&) const = default;
};

/// One daemon's access to the store of the model.
class ModelStore {
public:
    /// How long an answer is waited for.
    static constexpr Milliseconds timeout { 1000 };
    static constexpr Milliseconds longestDelay { 6000 };

    ModelStore(ModelTables& tables, std::mt19937_64& random)
        : tables(tables)
        , random(random)
    {
    }

    void read(const std::string& key, KvReadCallback callback);
    void list(const std::string& prefix, KvListCallback callback);
    void watch(const std::string& prefix, std::int64_t after, Milliseconds wait, KvListCallback callback);
    void commit(const KvCommit& commit, KvCommitCallback callback);

    /// Shared with the calls under way, which outlive a daemon that is killed.
    std::shared_ptr<StoreFaults> faults = std::make_shared<StoreFaults>();

private:
    /// The open end of one call: the first of answer and time limit calls back.
    template <typename Value> struct Call {
        std::function<void(Result<Value, KvFailure>)> callback;
        std::shared_ptr<Process> caller;
        bool isOver = false;

        template <typename Outcome> void end(const Outcome& outcome)
        {
            if (!std::exchange(this->isOver, true))
                this->callback(outcome);
        }
    };

    template <typename Value> using CallPointer = std::shared_ptr<Call<Value>>;

    /// Sends a call; `serve` runs when it arrives at the store, and answers it through `answer`.
    template <typename Value>
    void send(std::function<void(Result<Value, KvFailure>)> callback, Milliseconds limit, bool isCommit,
        std::function<void(std::function<void(Value)>)> serve);

    /// Answers a call from the store.
    template <typename Value>
    static void answer(const CallPointer<Value>& call, const StoreFaults& faults, std::mt19937_64& random, Value value);

    static bool happens(std::mt19937_64& random, unsigned percent) { return random() % 100 < percent; }
    static Microseconds latency(std::mt19937_64& random) { return Microseconds(300 + random() % 2000); }

    ModelTables& tables;
    std::mt19937_64& random;
};

} // namespace Greengage
