#include <coordinator/store/PrefixMirror.h>
#include <loop/memory/EventDeleter.h>
#include <tests/takeovers/OutageStore.h>

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <map>
#include <random>
#include <string>

using namespace Greengage;

namespace {

/// The time after the end of an outage from which on the newest version has to be in force, and the same after its
/// acknowledgement.
constexpr Milliseconds inTouchAfter { 3000 };
constexpr Milliseconds inForceAfter { 2000 };

/// The waits of the mirrors of operators' items, workers, leadership and jobs.
constexpr Milliseconds mirrorWaits[] { Milliseconds(700), Milliseconds(500), Milliseconds(400), Milliseconds(300) };

const char* nameOfKind(OutageKind kind)
{
    switch (kind) {
    case OutageKind::Refusing:
        return "refusing";
    case OutageKind::Resetting:
        return "resetting";
    case OutageKind::Silent:
        return "silent";
    }
    return "";
}

/// One mirror and a store that is gone for a while, in one way or in several in turn.
struct OutagePlay {
    explicit OutagePlay(std::uint64_t seed, Milliseconds wait)
        : random(seed)
        , wait(wait)
    {
        VirtualLoop::shared().clear();
        this->start = VirtualLoop::shared().now();
        Instant at = this->start + this->between(3000, 6000);
        for (std::uint64_t phases = 1 + this->random() % 3; phases > 0; --phases) {
            Instant until = at + this->between(50, 5000);
            this->store.outages.push_back({ at, until, static_cast<OutageKind>(this->random() % 3) });
            at = until;
        }
        this->back = at;
        this->store.changeAt = this->back + this->between(0, 1000);
        this->store.latency = this->random() % 2 ? Milliseconds(4) : Milliseconds(200);
        this->store.dropsHistory = this->random() % 4 == 0;
    }

    Milliseconds between(std::int64_t least, std::int64_t most)
    {
        return Milliseconds(
            least + static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most - least)));
    }

    /// Other calls of the daemon get no answer either while the store is silent.
    void noteOtherCalls()
    {
        Instant now = VirtualLoop::shared().now();
        bool isSilent = std::any_of(this->store.outages.begin(), this->store.outages.end(), [now](const auto& outage) {
            return outage.kind == OutageKind::Silent && outage.from <= now && now < outage.until;
        });
        if (isSilent)
            this->store.answerTimeout.recordSilence();
        VirtualLoop::shared().schedule(Milliseconds(150), nullptr, [this] { this->noteOtherCalls(); });
    }

    /// Returns when the mirror had read the change.
    Instant play()
    {
        Instant seenAt = Instant::max();
        auto apply = [&seenAt](const KvListing& listing) {
            if (listing.revision >= OutageStore::changedRevision)
                seenAt = std::min(seenAt, VirtualLoop::shared().now());
        };
        PrefixMirror<OutageStore> mirror(
            *this->base, this->store, "p/", this->wait, { apply, apply, [](KvFailure) {} });
        mirror.start();
        this->noteOtherCalls();
        VirtualLoop::shared().runFor(this->back + Seconds(8) - this->start);
        mirror.close();
        VirtualLoop::shared().clear();
        return seenAt;
    }

    /// The latest time at which the change has to be read.
    Instant due() const { return std::max(this->back + inTouchAfter, this->store.changeAt + inForceAfter); }

    std::mt19937_64 random;
    Milliseconds wait;
    EventPointer<event_base> base { event_base_new() };
    OutageStore store;
    Instant start;
    /// The end of the outage.
    Instant back;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreOutages)

/// Guards against an old configuration for seconds after an outage of the store: a watch that was sent before the store
/// came back hung for its whole limit, which had grown, and the next call followed after a pause.
BOOST_AUTO_TEST_CASE(changesAreReadInTimeAfterOutagesOfAnyKindPhaseAndLength)
{
    startLog(LogLevel::Error);
    for (Milliseconds wait : mirrorWaits) {
        std::map<std::string, Microseconds> longest;
        for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
            OutagePlay play(seed, wait);
            Instant seenAt = play.play();
            if (seenAt > play.due())
                BOOST_ERROR("seed " << seed << ", wait " << wait.count() << " ms: the change was read "
                                    << std::chrono::duration_cast<Milliseconds>(seenAt - play.back).count()
                                    << " ms after the end of the outage");
            // Without the time before the change.
            Microseconds& entry = longest[nameOfKind(play.store.outages.back().kind)];
            entry = std::max(entry, seenAt - std::max(play.back, play.store.changeAt));
        }
        for (const auto& [kind, span] : longest)
            BOOST_TEST_MESSAGE("wait " << wait.count() << " ms, last " << kind << ": read at most "
                                       << std::chrono::duration_cast<Milliseconds>(span).count() << " ms late");
    }
}

/// Guards against daemons that storm a store which does not answer.
BOOST_AUTO_TEST_CASE(aStoreThatDoesNotAnswerIsNotCalledOften)
{
    startLog(LogLevel::Error);
    for (OutageKind kind : { OutageKind::Refusing, OutageKind::Resetting, OutageKind::Silent }) {
        OutagePlay play(1, Milliseconds(700));
        play.store.outages = { { play.start + Seconds(2), play.start + Seconds(62), kind } };
        play.back = play.start + Seconds(62);
        play.store.changeAt = play.back;
        std::size_t callsBefore = 0;
        VirtualLoop::shared().schedule(Seconds(12), nullptr, [&play, &callsBefore] { callsBefore = play.store.calls; });
        std::size_t callsAfter = 0;
        VirtualLoop::shared().schedule(Seconds(62), nullptr, [&play, &callsAfter] { callsAfter = play.store.calls; });
        play.play();
        // One call each 800 ms.
        BOOST_TEST(callsAfter - callsBefore <= 64U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
