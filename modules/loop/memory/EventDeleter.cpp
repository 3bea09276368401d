#include <loop/memory/EventDeleter.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

namespace Greengage {

void EventDeleter::operator()(bufferevent* object) const { bufferevent_free(object); }
void EventDeleter::operator()(evbuffer* object) const { evbuffer_free(object); }
void EventDeleter::operator()(evconnlistener* object) const { evconnlistener_free(object); }
void EventDeleter::operator()(event* object) const { event_free(object); }
void EventDeleter::operator()(event_base* object) const { event_base_free(object); }
void EventDeleter::operator()(evhttp* object) const { evhttp_free(object); }

} // namespace Greengage
