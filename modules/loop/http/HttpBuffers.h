#pragma once

#include <string>
#include <string_view>

struct evbuffer;
struct evkeyvalq;

namespace Greengage {

/// Removes all bytes from a buffer and returns them.
std::string takeBytes(evbuffer&);

/// The value of a header, or an empty string if it is absent.
std::string headerValue(const evkeyvalq&, const char* name);

bool hasHeader(const evkeyvalq&, const char* name);

} // namespace Greengage
