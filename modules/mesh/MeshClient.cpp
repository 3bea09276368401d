#include <mesh/MeshClient.h>

#include <config/document/DocumentCodec.h>
#include <core/time/BootClock.h>
#include <mesh/codec/PeerStateCodec.h>
#include <mesh/rpc/BoundSocket.h>
#include <mesh/rpc/MethodNames.h>
#include <mesh/rpc/ReplyParser.h>

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <json/value.h>
#include <jsonrpccpp/client/batchcall.h>
#include <netinet/in.h>

namespace Greengage {

namespace {

constexpr Milliseconds callTimeout { 1000 };
constexpr std::size_t maxResponseLineBytes = 4 * 1024 * 1024;
constexpr std::size_t maxPendingCalls = 8;

} // namespace

MeshClient::MeshClient(event_base& base, SocketAddress peer, std::string sourceAddress)
    : base(base)
    , peer(std::move(peer))
    , sourceAddress(std::move(sourceAddress))
    , timer(base, [this] { this->handleTimer(); })
{
}

MeshClient::~MeshClient() = default;

void MeshClient::readState(Callback<PeerState> callback)
{
    Json::Value parameters(Json::objectValue);
    this->call(MethodNames::readState, std::move(parameters), [callback = std::move(callback)](const Reply& reply) {
        if (reply.has_value())
            callback(PeerStateCodec::fromJson(reply.value()));
        else
            callback(reply.error());
    });
}

void MeshClient::fetchDocument(std::uint64_t revision, Callback<DocumentRecord> callback)
{
    Json::Value parameters(Json::objectValue);
    parameters["revision"] = Json::UInt64(revision);
    this->call(MethodNames::fetchDocument, std::move(parameters), [callback = std::move(callback)](const Reply& reply) {
        if (!reply.has_value()) {
            callback(reply.error());
            return;
        }
        auto record = DocumentCodec::fromJson(reply.value());
        if (record.has_value())
            callback(std::move(record.value()));
        else
            callback(MeshError { MeshErrorCode::Malformed, record.error().message });
    });
}

void MeshClient::call(const char* method, Json::Value parameters, std::function<void(const Reply&)> onFinished)
{
    bool isFull = this->calls.size() >= maxPendingCalls;
    bool isConnected = !isFull && (this->connection || this->connect());
    std::int64_t id = this->nextCall++;
    // A call that cannot be sent fails in the next iteration of the event loop.
    Deadline answerBy = Deadline::after(BootClock::now(), isConnected ? callTimeout : Milliseconds::zero());
    this->calls.emplace(id, Call { answerBy, std::move(onFinished) });
    this->scheduleTimer();
    if (!isConnected)
        return;
    // The library numbers the calls of each batch from one, so the id that matches answers to calls is a parameter.
    parameters["call"] = Json::Int64(id);
    jsonrpc::BatchCall batch;
    batch.addCall(method, parameters);
    std::string line = batch.toString();
    if (line.empty() || line.back() != '\n')
        line.push_back('\n');
    this->sent += line.size();
    bufferevent_write(this->connection.get(), line.data(), line.size());
}

bool MeshClient::connect()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->peer.port);
    if (inet_pton(AF_INET, this->peer.address.c_str(), &address.sin_addr) != 1)
        return false;
    this->connection = makeBoundTransport(this->base, this->sourceAddress);
    if (!this->connection)
        return false;
    bufferevent_setcb(
        this->connection.get(), [](bufferevent*, void* self) { static_cast<MeshClient*>(self)->read(); }, nullptr,
        [](bufferevent*, short events, void* self) {
            if (!(events & BEV_EVENT_CONNECTED))
                static_cast<MeshClient*>(self)->fail(
                    { MeshErrorCode::Disconnected, "the connection failed or was closed" });
        },
        this);
    bufferevent_setwatermark(this->connection.get(), EV_READ, 0, maxResponseLineBytes);
    bufferevent_enable(this->connection.get(), EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(this->connection.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return true;
    this->connection.reset();
    return false;
}

void MeshClient::read()
{
    evbuffer* input = bufferevent_get_input(this->connection.get());
    std::size_t length = 0;
    while (char* text = evbuffer_readln(input, &length, EVBUFFER_EOL_LF)) {
        std::string line(text, length);
        free(text); // NOLINT(cppcoreguidelines-no-malloc): allocated by libevent
        this->received += length;
        this->handleLine(line);
        if (!this->connection)
            return;
    }
    if (evbuffer_get_length(input) >= maxResponseLineBytes)
        this->fail({ MeshErrorCode::Malformed, "an answer line exceeds the maximum length" });
}

void MeshClient::handleLine(const std::string& line)
{
    auto reply = parseReply(line);
    if (!reply.has_value()) {
        this->fail(reply.error());
        return;
    }
    auto found = this->calls.find(reply.value().call);
    if (found == this->calls.end())
        return;
    auto onFinished = std::move(found->second.onFinished);
    this->calls.erase(found);
    this->scheduleTimer();
    onFinished(reply.value().result);
}

void MeshClient::handleTimer()
{
    Instant now = BootClock::now();
    auto hasTimedOut = [now](const auto& entry) { return entry.second.answerBy.hasPassed(now); };
    if (std::any_of(this->calls.begin(), this->calls.end(), hasTimedOut))
        this->fail({ MeshErrorCode::TimedOut, "no answer in time" });
    else
        this->scheduleTimer();
}

/// Closes the connection and fails all pending calls.
void MeshClient::fail(const MeshError& error)
{
    this->connection.reset();
    this->timer.cancel();
    std::map<std::int64_t, Call> failed = std::move(this->calls);
    this->calls.clear();
    for (auto& [id, call] : failed)
        call.onFinished(Reply(error));
}

void MeshClient::scheduleTimer()
{
    if (this->calls.empty()) {
        this->timer.cancel();
        return;
    }
    Deadline earliest = Deadline::never();
    for (const auto& [id, call] : this->calls)
        earliest = std::min(earliest, call.answerBy);
    this->timer.schedule(earliest.remaining(BootClock::now()));
}

} // namespace Greengage
