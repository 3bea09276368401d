#pragma once

#include <standins/relay/RelayAction.h>
#include <standins/relay/RelayRoute.h>

#include <functional>
#include <string>

struct bufferevent;
struct event_base;

namespace Greengage {

/// One relayed connection: the accepted side and the side that leads to the target, which is bound to the address that
/// the accepted side came from.
class RelayLink {
public:
    /// `closed` is called from the loop when an end has closed or failed; it destroys the link.
    RelayLink(
        event_base&, int acceptedSocket, std::string source, const RelayRoute&, std::function<void(RelayLink&)> closed);
    ~RelayLink();

    RelayLink(const RelayLink&) = delete;
    RelayLink& operator=(const RelayLink&) = delete;

    const std::string& source() const { return this->sourceAddress; }
    const std::string& destination() const { return this->route.targetAddress; }

    /// Passes or freezes. Resetting is done by `resetBoth` and destruction.
    void apply(RelayAction);

    /// Freezes for good, whatever the rules say later.
    void silence();

    /// Makes the closing of both sides a reset.
    void resetBoth();

private:
    static void readable(bufferevent*, void*);
    static void written(bufferevent*, void*);
    static void changed(bufferevent*, short, void*);

    bool connect();
    bufferevent* otherSide(bufferevent*) const;
    void setReading(bool);

    event_base& base;
    std::string sourceAddress;
    RelayRoute route;
    std::function<void(RelayLink&)> closed;
    bufferevent* accepted;
    bufferevent* target = nullptr;
    bool frozen = false;
    bool silent = false;
    bool closing = false;
};

} // namespace Greengage
