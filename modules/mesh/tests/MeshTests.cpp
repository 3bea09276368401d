#include <boost/test/unit_test.hpp>

#include <config/model/DocumentRecord.h>
#include <mesh/MeshClient.h>
#include <mesh/MeshServer.h>
#include <mesh/codec/PeerStateCodec.h>
#include <support/LoopRunner.h>
#include <support/ScriptedServer.h>

#include <arpa/inet.h>
#include <json/value.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr int basePort = 24900;
constexpr int portRange = 90;

PeerState makeState()
{
    PeerState state;
    state.daemon = DaemonId("d1");
    state.incarnation = IncarnationId("i1");
    state.zone = ZoneId("z1");
    state.appliedRevision = 7;
    state.knownRevision = 8;
    state.confirmationAge = Milliseconds(250);
    state.shuttingDown = true;
    state.busyDrainingVms = { VmId("vm9") };
    state.demand = { { QueueId("q"), TeamId("t"), 3, 4 }, { QueueId("q"), TeamId("u"), 0, 1 },
        { QueueId("r"), TeamId("t"), 5, 0 } };
    state.observations = { { IncarnationId("i2"), ZoneId("z2"), Milliseconds::max() },
        { IncarnationId("i3"), ZoneId("z2"), Milliseconds(40) } };
    return state;
}

struct MeshFixture {
    LoopRunner loop;
    std::optional<DocumentRecord> document;
    SocketAddress address { "127.0.0.1", static_cast<std::uint16_t>(basePort + getpid() % portRange) };
    MeshServer server { loop.base(), address.address, address.port,
        { makeState, [this] { return this->document ? &*this->document : nullptr; }, [](CloseReason) {} } };
    std::optional<Result<PeerState, MeshError>> answer;
    std::optional<Result<DocumentRecord, MeshError>> fetched;

    MeshFixture() { BOOST_REQUIRE(this->server.listen().has_value()); }

    const Result<PeerState, MeshError>& exchange(MeshClient& client)
    {
        this->answer.reset();
        client.readState([this](Result<PeerState, MeshError> result) { this->answer = std::move(result); });
        BOOST_TEST(!this->answer.has_value());
        BOOST_REQUIRE(this->loop.runUntil([this] { return this->answer.has_value(); }));
        return *this->answer;
    }

    const Result<DocumentRecord, MeshError>& fetch(MeshClient& client, std::uint64_t revision)
    {
        this->fetched.reset();
        client.fetchDocument(
            revision, [this](Result<DocumentRecord, MeshError> result) { this->fetched = std::move(result); });
        BOOST_REQUIRE(this->loop.runUntil([this] { return this->fetched.has_value(); }));
        return *this->fetched;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MeshTests, MeshFixture)

BOOST_AUTO_TEST_CASE(stateIsReadCompletely)
{
    MeshClient client(this->loop.base(), this->address, "127.0.0.1");
    const auto& result = this->exchange(client);
    BOOST_REQUIRE(result.has_value());
    const PeerState& read = result.value();
    BOOST_TEST((PeerStateCodec::toJson(read) == PeerStateCodec::toJson(makeState())));
    BOOST_REQUIRE(read.demand.size() == 3U);
    BOOST_TEST(read.demand[1].queue.string() == "q");
    BOOST_TEST(read.demand[1].team.string() == "u");
    BOOST_TEST(read.demand[1].running == 0);
    BOOST_TEST(read.demand[1].waiting == 1);
    BOOST_REQUIRE(read.observations.size() == 2U);
    BOOST_TEST(read.observations[0].incarnation.string() == "i2");
    BOOST_TEST((read.observations[0].age == Milliseconds::max()));
    BOOST_TEST((read.observations[1].age == Milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(documentIsFetchedOnlyIfItsRevisionIsNewEnough)
{
    MeshClient client(this->loop.base(), this->address, "127.0.0.1");
    const auto& missing = this->fetch(client, 1);
    BOOST_REQUIRE(!missing.has_value());
    BOOST_TEST((missing.error().code == MeshErrorCode::Refused));
    this->document = DocumentRecord { 5, { { 5, "change", "author", 1, { "team t" } } }, "[team t]\n" };
    const auto& found = this->fetch(client, 5);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found.value().text == "[team t]\n");
    BOOST_TEST(!this->fetch(client, 6).has_value());
}

BOOST_AUTO_TEST_CASE(unresponsiveConnectionIsReplaced)
{
    ScriptedServer unresponsive(this->loop.base(), [](const std::string&) { return ScriptedServer::Reply {}; });
    MeshClient client(this->loop.base(), { "127.0.0.1", unresponsive.port() }, "127.0.0.1");
    for (int turn = 1; turn <= 2; ++turn) {
        const auto& result = this->exchange(client);
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().code == MeshErrorCode::TimedOut));
        BOOST_TEST(unresponsive.connections == turn);
    }
}

/// Malformed input must not end the server: libjsonrpccpp's parser throws if the nesting is too deep.
BOOST_AUTO_TEST_CASE(lineThatCannotBeParsedEndsOnlyItsConnection)
{
    for (const std::string& line : { std::string(5000, '['), std::string("{]"), std::string("\xff\xfe") }) {
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(this->address.port);
        inet_pton(AF_INET, this->address.address.c_str(), &to.sin_addr);
        BOOST_REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
        auto bytes = line + "\n";
        BOOST_REQUIRE(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
        MeshClient client(this->loop.base(), this->address, "127.0.0.1");
        BOOST_TEST(this->exchange(client).has_value());
        close(socket);
    }
}

BOOST_AUTO_TEST_CASE(answerToAnotherCallIsIgnored)
{
    ScriptedServer stale(this->loop.base(), [](const std::string&) {
        return ScriptedServer::Reply { "[{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":{\"call\":99,\"value\":{}}}]\n" };
    });
    MeshClient client(this->loop.base(), { "127.0.0.1", stale.port() }, "127.0.0.1");
    const auto& result = this->exchange(client);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().code == MeshErrorCode::TimedOut));
}

BOOST_AUTO_TEST_CASE(malformedAnswersAndMissingPeersGiveErrors)
{
    ScriptedServer malformed(this->loop.base(), [](const std::string&) { return ScriptedServer::Reply { "{]\n" }; });
    MeshClient client(this->loop.base(), { "127.0.0.1", malformed.port() }, "127.0.0.1");
    BOOST_TEST((this->exchange(client).error().code == MeshErrorCode::Malformed));
    MeshClient missing(this->loop.base(), { "127.0.0.1", 1 }, "127.0.0.1");
    BOOST_TEST((this->exchange(missing).error().code == MeshErrorCode::Disconnected));
}

BOOST_AUTO_TEST_CASE(statesWithMissingOrMistypedMembersAreRefused)
{
    const Json::Value whole = PeerStateCodec::toJson(makeState());
    BOOST_REQUIRE(PeerStateCodec::fromJson(whole).has_value());
    for (const std::string& member : whole.getMemberNames()) {
        Json::Value damaged = whole;
        damaged.removeMember(member);
        BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value(), "without " << member);
        damaged[member] = Json::Value(1.5);
        BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value(), "with another type of " << member);
    }
    BOOST_TEST(!PeerStateCodec::fromJson(Json::Value("text")).has_value());
}

BOOST_AUTO_TEST_CASE(statesWithDamagedCountsOrAgesAreRefused)
{
    const Json::Value whole = PeerStateCodec::toJson(makeState());
    const Json::Value negative(-2);
    for (const Json::Value& wrong : { Json::Value("3"), Json::Value(Json::objectValue), negative, Json::Value(1.5) }) {
        Json::Value damaged = whole;
        damaged["demand"]["q"]["t"][0] = wrong;
        BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value());
        damaged = whole;
        damaged["sightings"]["z2"]["i2"] = wrong;
        BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value());
    }
    Json::Value damaged = whole;
    damaged["demand"]["q"]["t"].append(1);
    BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value());
    damaged = whole;
    damaged["demand"]["q"] = 1;
    BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value());
    damaged = whole;
    for (int index = 0; index <= 1000; ++index)
        damaged["sightings"]["z3"]["i" + std::to_string(index)] = 1;
    BOOST_TEST(!PeerStateCodec::fromJson(damaged).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
