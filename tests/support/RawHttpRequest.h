#pragma once

#include <support/HttpReply.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Greengage {

/// Sends one HTTP request on a new connection and blocks until the response is complete or 60 seconds pass without
/// data. `headers` are header lines without line ends.
HttpReply sendHttpRequest(const std::string& address, std::uint16_t port, const std::string& method,
    const std::string& path, const std::vector<std::string>& headers = {}, const std::string& body = {});

} // namespace Greengage
