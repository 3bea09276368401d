#pragma once

#include <standins/relay/RelayAction.h>
#include <standins/relay/RelayRoute.h>

#include <functional>
#include <string>

struct bufferevent;
struct event_base;

namespace Greengage {

/// One relayed connection: the accepted socket and the socket to the target. The latter is bound to the source address
/// of the accepted one, so that the target sees the original source.
class RelayLink {
public:
    /// `onClosed` is called from the loop once either side has closed or failed; it must destroy the link.
    RelayLink(event_base&, int acceptedSocket, std::string source, const RelayRoute&,
        std::function<void(RelayLink&)> onClosed);
    ~RelayLink();

    RelayLink(const RelayLink&) = delete;
    RelayLink& operator=(const RelayLink&) = delete;

    const std::string& source() const { return this->sourceAddress; }
    const std::string& destination() const { return this->route.targetAddress; }

    /// Passes bytes on, or stops doing so. To reset the connection, call `resetBoth` and destroy the link.
    void apply(RelayAction);

    /// Freezes the connection permanently, whatever the rules say later.
    void freezePermanently();

    /// Makes both sides send a TCP reset when they are closed.
    void resetBoth();

private:
    static void handleReadable(bufferevent*, void*);
    static void handleWritten(bufferevent*, void*);
    static void handleEvent(bufferevent*, short, void*);

    bool connect();
    bufferevent* otherSide(bufferevent*) const;
    void setReading(bool);

    event_base& base;
    std::string sourceAddress;
    RelayRoute route;
    std::function<void(RelayLink&)> onClosed;
    bufferevent* accepted;
    bufferevent* target = nullptr;
    bool frozen = false;
    bool permanentlyFrozen = false;
    bool closesAfterFlush = false;
};

} // namespace Greengage
