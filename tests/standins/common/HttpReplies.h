#pragma once

#include <json/forwards.h>

#include <functional>
#include <string>

struct evhttp_request;

namespace Greengage {

class Loop;

/// Helpers for handlers of evhttp requests.
namespace HttpReplies {

std::string body(evhttp_request*);
std::string path(evhttp_request*);
std::string peerAddress(evhttp_request*);
/// The value of a request header; empty if it is absent.
std::string header(evhttp_request*, const char* name);

void json(evhttp_request*, const Json::Value&);
void text(evhttp_request*, int status, const std::string& body);

/// Passes the JSON object in the request's body to `apply` and answers with an empty object, or with status 400 if the
/// body is not a JSON object or `apply` throws a Json::Exception.
void applySettings(evhttp_request*, const std::function<void(const Json::Value&)>& apply);

/// Schedules the closing of the request's connection, without an answer. The request must not be used afterwards.
void closeWithoutAnswer(Loop&, evhttp_request*);

/// Sends a header with the full Content-Length but only the first `sentBytes` bytes of the body, then closes the
/// connection.
void truncated(Loop&, evhttp_request*, const std::string& requestId, const std::string& body, std::size_t sentBytes);

} // namespace HttpReplies

} // namespace Greengage
