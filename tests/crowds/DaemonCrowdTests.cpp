#include <support/Crowd.h>
#include <support/DescriptorLimit.h>
#include <support/LoopRunner.h>
#include <support/ProcessUsage.h>
#include <support/RawConnection.h>
#include <tests/daemon/RunningFleet.h>

#include <boost/test/unit_test.hpp>
#include <core/time/BootClock.h>
#include <core/time/Deadline.h>
#include <spdlog/fmt/fmt.h>

using namespace Greengage;

namespace {

constexpr std::size_t kilobyte = 1024;
/// The memory and the descriptors of a machine.
constexpr std::size_t machineMemory = 96 * kilobyte * kilobyte;
constexpr std::size_t machineDescriptors = 4100;
constexpr Milliseconds crowdTime { 4000 };
constexpr Milliseconds samplePeriod { 25 };
const std::string work = "call=order run_ms=20 answer_bytes=200\n";

struct SmallMachine {
    DescriptorLimit descriptorLimit { machineDescriptors };
};

/// Crowds meet the first of two daemons.
struct DaemonCrowd : SmallMachine, RunningFleet, LoopRunner {
    std::uint16_t meshPort() const { return static_cast<std::uint16_t>(this->callersPort() + 2); }

    /// Has a crowd send for some seconds, then checks that the daemon runs within its machine and answers one ordinary
    /// request of a caller and one of an operator, and hears the other daemon, while the crowd is still connected. The
    /// crowd's address is filled in.
    void meet(CrowdPlan plan, std::uint16_t port)
    {
        plan.address = this->daemonAddress(1);
        plan.port = port;
        ProcessUsage usage(this->daemon(1).id());
        Crowd crowd(this->base(), std::move(plan));
        auto end = Deadline::after(BootClock::now(), crowdTime);
        Deadline nextSample;
        this->runUntil([&] {
            Instant now = BootClock::now();
            if (nextSample.hasPassed(now)) {
                usage.sample(port);
                nextSample = Deadline::after(now, samplePeriod);
            }
            return end.hasPassed(now);
        });
        BOOST_TEST(this->call(1, "orders", { this->bearer }, work).status == 200);
        BOOST_TEST(this->admin(1, "/v1/status").status == 200);
        BOOST_TEST(this->answersPeers());
        usage.sample(port);
        BOOST_TEST_MESSAGE("peak memory " << usage.peakMemory() << ", descriptors " << usage.peakDescriptors());
        BOOST_TEST(!this->daemon(1).exitStatus().has_value());
        BOOST_TEST(usage.peakMemory() <= machineMemory);
        BOOST_TEST(usage.peakDescriptors() <= machineDescriptors);
    }

    /// Whether a new connection to the mesh port is answered.
    bool answersPeers() const
    {
        RawConnection peer(this->daemonAddress(1), this->meshPort());
        peer.send(R"([{"jsonrpc":"2.0","id":1,"method":"readState","params":{"call":1}}])"
                  "\n");
        return peer.receiveLine().find("\"value\"") != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DaemonCrowds, DaemonCrowd)

BOOST_AUTO_TEST_CASE(requestsSentAheadAtAnUnknownPath)
{
    this->meet({ .connections = 40, .repeated = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", .repeats = 150'000 },
        this->callersPort());
}

BOOST_AUTO_TEST_CASE(bodiesThatAreNotComplete)
{
    this->meet({ .connections = 150,
                   .opening = "POST /v1/queues/prices HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n",
                   .repeated = std::string(kilobyte, 'x'),
                   .repeats = 1023 },
        this->callersPort());
}

BOOST_AUTO_TEST_CASE(aChunkLineWithoutAnEnd)
{
    this->meet({ .connections = 100,
                   .opening = "POST /v1/queues/prices HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                   .repeated = std::string(kilobyte, 'x'),
                   .repeats = 4000 },
        this->callersPort());
}

BOOST_AUTO_TEST_CASE(manySmallHeaders)
{
    this->meet({ .connections = 400, .opening = "GET / HTTP/1.1\r\n", .repeated = "a:\n", .repeats = 5400 },
        this->callersPort());
}

/// More connections than the daemon takes.
BOOST_AUTO_TEST_CASE(connectionsWithPartOfARequest)
{
    this->meet({ .connections = 2600, .opening = "GET /nowhere HTTP/1.1\r\nHost: nob" }, this->callersPort());
}

BOOST_AUTO_TEST_CASE(requestsWithoutAKeySentAheadToTheAdminPort)
{
    this->meet({ .connections = 14, .repeated = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n", .repeats = 400'000 },
        this->adminPort());
}

BOOST_AUTO_TEST_CASE(bodiesSentToTheAdminPort)
{
    this->meet({ .connections = 14,
                   .opening = "POST /v1/document HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                   .repeated = std::string(kilobyte, 'x'),
                   .repeats = 12'000 },
        this->adminPort());
}

/// More connections than the admin port takes.
BOOST_AUTO_TEST_CASE(connectionsToTheAdminPort) { this->meet({ .connections = 100 }, this->adminPort()); }

BOOST_AUTO_TEST_CASE(callsToTheMeshPortWhoseAnswersAreNotRead)
{
    this->meet({ .connections = 200,
                   .repeated = R"([{"jsonrpc":"2.0","id":1,"method":"fetchDocument","params":{"call":1,"revision":0}}])"
                               "\n",
                   .repeats = 20'000,
                   .receiveBufferBytes = 1024 },
        this->meshPort());
}

BOOST_AUTO_TEST_CASE(linesWithoutAnEndToTheMeshPort)
{
    this->meet({ .connections = 200, .repeated = std::string(kilobyte, 'x'), .repeats = 2000 }, this->meshPort());
}

/// More connections than the mesh port takes.
BOOST_AUTO_TEST_CASE(connectionsToTheMeshPort) { this->meet({ .connections = 400 }, this->meshPort()); }

BOOST_AUTO_TEST_SUITE_END()
