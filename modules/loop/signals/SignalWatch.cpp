#include <loop/signals/SignalWatch.h>

#include <core/errors/ErrorBoundary.h>

#include <event2/event.h>
#include <utility>

namespace Greengage {

SignalWatch::SignalWatch(event_base& base, int signal, std::function<void()> callback)
    : callback(std::move(callback))
    , signalEvent(evsignal_new(
          &base, signal, [](evutil_socket_t, short, void* watch) { static_cast<SignalWatch*>(watch)->run(); }, this))
{
    event_add(this->signalEvent.get(), nullptr);
}

SignalWatch::~SignalWatch() = default;

void SignalWatch::run() { ErrorBoundary::run(ErrorEffect::StateInDoubt, WorkKind::Signal, {}, this->callback); }

} // namespace Greengage
