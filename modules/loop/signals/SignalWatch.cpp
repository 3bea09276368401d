#include <loop/signals/SignalWatch.h>

#include <event2/event.h>
#include <utility>

namespace Greengage {

SignalWatch::SignalWatch(event_base& base, int signal, std::function<void()> callback)
    : callback(std::move(callback))
    , received(evsignal_new(
          &base, signal, [](evutil_socket_t, short, void* watch) { static_cast<SignalWatch*>(watch)->callback(); },
          this))
{
    event_add(this->received.get(), nullptr);
}

SignalWatch::~SignalWatch() = default;

} // namespace Greengage
