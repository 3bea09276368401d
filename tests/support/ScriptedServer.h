#pragma once

#include <loop/memory/EventDeleter.h>

#include <cstdint>
#include <event2/listener.h>
#include <functional>
#include <string>
#include <vector>

namespace Greengage {

/// A TCP server for tests. It passes the bytes of each read to a script, answers with the bytes that the script
/// returns, and closes the connection if the script says so.
class ScriptedServer {
public:
    struct Reply {
        std::string bytes;
        bool close = false;
    };
    using Script = std::function<Reply(const std::string& request)>;

    ScriptedServer(event_base&, Script);
    ~ScriptedServer();

    std::uint16_t port() const;

    /// Reads nothing more from the open connections and keeps them open.
    void silenceOpenConnections();

    int connections = 0;
    std::size_t bytesReceived = 0;
    Script script;

private:
    void accept(evutil_socket_t);
    void read(bufferevent*);

    event_base& base;
    EventPointer<evconnlistener> listener;
    std::vector<EventPointer<bufferevent>> open;
};

} // namespace Greengage
