#include <support/Crowd.h>

#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr std::size_t sendBytes = 64 * 1024;

int openSocket(const CrowdPlan& plan)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0)
        throw std::system_error(errno, std::generic_category(), "no socket for a crowd");
    if (plan.receiveBufferBytes)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &plan.receiveBufferBytes, sizeof plan.receiveBufferBytes);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(plan.port);
    inet_pton(AF_INET, plan.address.c_str(), &target.sin_addr);
    if (connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 && errno != EINPROGRESS) {
        close(socket);
        throw std::system_error(errno, std::generic_category(), "a crowd cannot connect");
    }
    return socket;
}

} // namespace

/// One connection.
class Crowd::Member {
public:
    Member(event_base& base, const CrowdPlan& plan)
        : plan(plan)
        , pending(plan.opening)
        , repeatsLeft(plan.repeats)
        , socket(openSocket(plan))
        , writable(event_new(
              &base, this->socket, EV_WRITE | EV_PERSIST,
              [](int, short, void* member) { static_cast<Member*>(member)->send(); }, this))
    {
        event_add(this->writable.get(), nullptr);
    }

    ~Member()
    {
        this->writable.reset();
        close(this->socket);
    }

    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

private:
    void send()
    {
        std::string_view rest = std::string_view(this->pending).substr(this->sentOfPending);
        ssize_t count = ::send(this->socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count >= 0)
            this->sentOfPending += static_cast<std::size_t>(count);
        if (this->sentOfPending == this->pending.size())
            this->refill();
        bool isClosed = count < 0;
        if (isClosed || this->pending.empty())
            event_del(this->writable.get());
    }

    void refill()
    {
        this->pending.clear();
        this->sentOfPending = 0;
        for (; this->repeatsLeft && this->pending.size() < sendBytes; --this->repeatsLeft)
            this->pending += this->plan.repeated;
    }

    const CrowdPlan& plan;
    std::string pending;
    std::size_t sentOfPending = 0;
    std::size_t repeatsLeft;
    int socket;
    EventPointer<event> writable;
};

Crowd::Crowd(event_base& base, CrowdPlan plan)
    : plan(std::move(plan))
{
    for (std::size_t index = 0; index < this->plan.connections; ++index)
        this->members.push_back(std::make_unique<Member>(base, this->plan));
}

Crowd::~Crowd() = default;

} // namespace Greengage
