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
/// The value of a header of the request; empty if there is none.
std::string header(evhttp_request*, const char* name);

void json(evhttp_request*, const Json::Value&);
void text(evhttp_request*, int status, const std::string& body);

/// Hands the JSON object in the request's body to `apply` and answers with an empty object, or with status 400 if the
/// body is no object or `apply` throws a Json::Exception.
void applySettings(evhttp_request*, const std::function<void(const Json::Value&)>& apply);

/// Closes the request's connection without an answer, from the loop. The request must not be used any more.
void closeSilently(Loop&, evhttp_request*);

/// Announces an answer of the whole length, sends only its first bytes, and closes the connection.
void truncated(Loop&, evhttp_request*, const std::string& requestId, const std::string& body, std::size_t sentBytes);

} // namespace HttpReplies

} // namespace Greengage
