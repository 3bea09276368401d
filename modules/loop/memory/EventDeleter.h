#pragma once

#include <memory>

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct event;
struct event_base;
struct evhttp;

namespace Greengage {

/// Deleter of a std::unique_ptr to a libevent object.
struct EventDeleter {
    void operator()(bufferevent*) const;
    void operator()(evbuffer*) const;
    void operator()(evconnlistener*) const;
    void operator()(event*) const;
    void operator()(event_base*) const;
    void operator()(evhttp*) const;
};

/// Owning pointer to a libevent object.
template <typename Object> using EventPointer = std::unique_ptr<Object, EventDeleter>;

} // namespace Greengage
