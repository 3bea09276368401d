#include <coordinator/tests/After.h>

#include <core/errors/ErrorBoundary.h>

#include <event2/event.h>
#include <memory>
#include <sys/time.h>

namespace Greengage {

void after(event_base& base, Milliseconds delay, std::function<void()> action)
{
    timeval span { delay.count() / 1000, (delay.count() % 1000) * 1000 };
    auto call = [](evutil_socket_t, short, void* context) {
        std::unique_ptr<std::function<void()>> taken(static_cast<std::function<void()>*>(context));
        ErrorBoundary::run(ErrorEffect::StateInDoubt, WorkKind::CallAnswer, {}, *taken);
    };
    event_base_once(&base, -1, EV_TIMEOUT, call, new std::function<void()>(std::move(action)), &span);
}

} // namespace Greengage
