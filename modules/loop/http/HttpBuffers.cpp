#include <loop/http/HttpBuffers.h>

#include <event2/buffer.h>
#include <event2/http.h>

namespace Greengage {

std::string takeBytes(evbuffer& buffer)
{
    std::string bytes(evbuffer_get_length(&buffer), '\0');
    evbuffer_remove(&buffer, bytes.data(), bytes.size());
    return bytes;
}

std::string headerValue(const evkeyvalq& headers, const char* name)
{
    const char* value = evhttp_find_header(&headers, name);
    return value ? value : "";
}

bool hasHeader(const evkeyvalq& headers, const char* name) { return evhttp_find_header(&headers, name) != nullptr; }

} // namespace Greengage
