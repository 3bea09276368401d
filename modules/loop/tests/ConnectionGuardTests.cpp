#include <boost/test/unit_test.hpp>

#include <loop/guard/ConnectionGuard.h>
#include <loop/guard/HeaderEndScanner.h>

#include <array>
#include <vector>

namespace Greengage {

namespace {

constexpr Instant start { Microseconds(1'000'000) };
constexpr std::array<ConnectionPhase, 5> phases { ConnectionPhase::Idle, ConnectionPhase::Headers,
    ConnectionPhase::Body, ConnectionPhase::Handling, ConnectionPhase::Writing };

Instant at(int milliseconds) { return start + Milliseconds(milliseconds); }

ConnectionLimits smallLimits()
{
    ConnectionLimits limits;
    limits.maxConnections = 2;
    limits.maxHeldBytes = 100;
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 50'000;
    limits.replaceAfter = Milliseconds(100);
    limits.headerTimeout = Milliseconds(10);
    limits.bodyTimeout = Milliseconds(20);
    limits.writeTimeout = Milliseconds(30);
    limits.idleTimeout = Milliseconds(40);
    return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionGuards)

/// Plays three connections in every combination of phases and of bytes that they hold.
BOOST_AUTO_TEST_CASE(excessIsTakenFromTheRightConnectionInEveryState)
{
    for (std::size_t combination = 0; combination < 125; ++combination) {
        for (std::size_t holders = 0; holders < 8; ++holders) {
            ConnectionGuard<int> guard(smallLimits());
            std::array<ConnectionPhase, 3> phase { phases[combination % 5], phases[combination / 5 % 5],
                phases[combination / 25] };
            for (int key = 0; key < 3; ++key) {
                guard.open(key, at(key));
                guard.enter(key, phase[key], at(10 + key));
                guard.hold(key, holders >> key & 1 ? 60 + key : 1);
            }
            // A request that is handled is newer than any other connection.
            std::vector<int> closable;
            for (int key = 0; key < 3; ++key) {
                if (phase[key] != ConnectionPhase::Handling)
                    closable.push_back(key);
            }
            auto first = guard.takeExcess();
            BOOST_REQUIRE(first.has_value() == !closable.empty());
            while (auto next = guard.takeExcess())
                BOOST_TEST((next->phase != ConnectionPhase::Handling));
            for (int key = 0; key < 3; ++key)
                BOOST_TEST((phase[key] != ConnectionPhase::Handling || guard.contains(key)));
            if (!first)
                continue;
            BOOST_TEST((first->reason == CloseReason::TooManyConnections));
            BOOST_TEST(first->connection == closable.front());
            BOOST_TEST((first->phase == phase[first->connection]));
            bool isOnlyHandled = true;
            for (int key = 0; key < 3; ++key)
                isOnlyHandled &= !guard.contains(key) || phase[key] == ConnectionPhase::Handling;
            BOOST_TEST((guard.heldBytes() <= 100 || isOnlyHandled));
            BOOST_TEST(guard.connectionCount() <= 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(theConnectionThatHoldsMostIsClosedFirst)
{
    auto limits = smallLimits();
    limits.maxConnections = 10;
    ConnectionGuard<int> guard(limits);
    for (int key = 0; key < 5; ++key) {
        guard.open(key, at(0));
        guard.enter(key, ConnectionPhase::Body, at(0));
        guard.hold(key, 20);
    }
    BOOST_TEST(!guard.takeExcess().has_value());
    guard.hold(3, 45);
    auto closing = guard.takeExcess();
    BOOST_REQUIRE(closing.has_value());
    BOOST_TEST(closing->connection == 3);
    BOOST_TEST((closing->reason == CloseReason::MemoryFull));
    BOOST_TEST(closing->heldBytes == 45U);
    BOOST_TEST(!guard.takeExcess().has_value());
    BOOST_TEST(guard.heldBytes() == 80U);
}

/// A client that goes on sending requests stays in place of one that sends none.
BOOST_AUTO_TEST_CASE(theConnectionWithoutARequestForLongestMakesRoom)
{
    ConnectionGuard<int> guard(smallLimits());
    guard.open(1, at(0));
    guard.open(2, at(1));
    guard.enter(1, ConnectionPhase::Handling, at(2));
    guard.enter(1, ConnectionPhase::Writing, at(3));
    guard.enter(1, ConnectionPhase::Idle, at(4));
    guard.open(3, at(5));
    auto closing = guard.takeExcess();
    BOOST_REQUIRE(closing.has_value());
    BOOST_TEST(closing->connection == 2);
}

BOOST_AUTO_TEST_CASE(connectionsAreAcceptedUnlessAllAreHandledOrNew)
{
    ConnectionGuard<int> guard(smallLimits());
    guard.open(1, at(0));
    guard.enter(1, ConnectionPhase::Handling, at(0));
    BOOST_TEST(guard.acceptingFrom().hasPassed(at(0)));
    guard.open(2, at(1));
    BOOST_TEST((guard.acceptingFrom() == Deadline(at(101))));
    guard.enter(2, ConnectionPhase::Handling, at(50));
    BOOST_TEST((guard.acceptingFrom() == Deadline::never()));
    guard.enter(2, ConnectionPhase::Writing, at(60));
    BOOST_TEST((guard.acceptingFrom() == Deadline(at(150))));
    guard.enter(1, ConnectionPhase::Idle, at(70));
    BOOST_TEST((guard.acceptingFrom() == Deadline(at(100))));
    guard.remove(1);
    BOOST_TEST(guard.acceptingFrom().hasPassed(at(70)));
}

BOOST_AUTO_TEST_CASE(eachPhaseHasItsDeadline)
{
    std::array<int, 5> timeouts { 40, 10, 20, -1, 30 };
    for (std::size_t index = 0; index < phases.size(); ++index) {
        ConnectionGuard<int> guard(smallLimits());
        guard.open(1, at(0));
        guard.enter(1, phases[index], at(100));
        if (timeouts[index] < 0) {
            BOOST_TEST((guard.nextDeadline() == Deadline::never()));
            BOOST_TEST(!guard.takeOverdue(at(1'000'000)).has_value());
            continue;
        }
        BOOST_TEST((guard.nextDeadline() == Deadline(at(100 + timeouts[index]))));
        BOOST_TEST(!guard.takeOverdue(at(99 + timeouts[index])).has_value());
        auto closing = guard.takeOverdue(at(100 + timeouts[index]));
        BOOST_REQUIRE(closing.has_value());
        BOOST_TEST((closing->reason == CloseReason::Overdue));
        BOOST_TEST((closing->phase == phases[index]));
        BOOST_TEST(guard.connectionCount() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(newLimitsHoldAtOnceForWhatIsCounted)
{
    auto limits = smallLimits();
    limits.maxConnections = 3;
    ConnectionGuard<int> guard(limits);
    for (int key = 0; key < 3; ++key) {
        guard.open(key, at(key));
        guard.hold(key, 10);
    }
    BOOST_TEST(!guard.takeExcess().has_value());
    limits.maxConnections = 1;
    guard.setLimits(limits);
    BOOST_TEST(guard.takeExcess()->connection == 0);
    BOOST_TEST(guard.takeExcess()->connection == 1);
    BOOST_TEST(!guard.takeExcess().has_value());
    limits.maxHeldBytes = 5;
    guard.setLimits(limits);
    BOOST_TEST((guard.takeExcess()->reason == CloseReason::MemoryFull));
    BOOST_TEST(guard.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(onlyABodyIsReadBeyondTheSizeOfHeaders)
{
    ConnectionGuard<int> guard(smallLimits());
    guard.open(1, at(0));
    for (ConnectionPhase phase : phases) {
        guard.enter(1, phase, at(0));
        std::size_t most = phase == ConnectionPhase::Body ? 50'000 : 1000;
        BOOST_TEST(guard.readLimit(1) > most);
        BOOST_TEST(guard.readLimit(1) <= most + 4096);
    }
}

BOOST_AUTO_TEST_CASE(removedConnectionsHoldNothing)
{
    ConnectionGuard<int> guard(smallLimits());
    guard.open(1, at(0));
    guard.hold(1, 70);
    guard.remove(1);
    guard.remove(1);
    BOOST_TEST(guard.heldBytes() == 0U);
    BOOST_TEST(guard.connectionCount() == 0U);
    BOOST_TEST((guard.nextDeadline() == Deadline::never()));
}

BOOST_AUTO_TEST_CASE(theBlankLineIsFoundWhereverTheBytesAreSplit)
{
    for (std::string text : { "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\nHost: x\n\n" }) {
        for (std::size_t split = 0; split <= text.size(); ++split) {
            HeaderEndScanner scanner;
            bool isInFirst = scanner.feed(text.substr(0, split));
            BOOST_TEST(isInFirst == (split == text.size()));
            BOOST_TEST((isInFirst || scanner.feed(text.substr(split))));
        }
    }
    HeaderEndScanner scanner;
    BOOST_TEST(!scanner.feed("GET / HTTP/1.1\r\na:\r\nb"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
