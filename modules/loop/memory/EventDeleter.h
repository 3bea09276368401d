#pragma once

#include <memory>

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct event;
struct event_base;
struct evhttp;

namespace Greengage {

/// Frees libevent's objects, for use as the deleter of a std::unique_ptr.
struct EventDeleter {
    void operator()(bufferevent*) const;
    void operator()(evbuffer*) const;
    void operator()(evconnlistener*) const;
    void operator()(event*) const;
    void operator()(event_base*) const;
    void operator()(evhttp*) const;
};

/// An owned object of libevent.
template <typename Object> using EventPointer = std::unique_ptr<Object, EventDeleter>;

} // namespace Greengage
