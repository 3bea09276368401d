#pragma once

#include <cli/admin/AdminError.h>
#include <config/admin/StatusReport.h>
#include <config/model/DocumentRecord.h>
#include <config/settings/SocketAddress.h>
#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <store/http/HttpClient.h>
#include <store/http/HttpResponse.h>

#include <string>
#include <vector>

struct event_base;

namespace Greengage {

/// Blocking client for the admin ports of several daemons, which fails over to the next daemon when one cannot be
/// reached. Each call runs the event loop until its answer arrives, so only the command-line tool may use this class,
/// never a daemon.
class AdminClient {
public:
    /// Timeout of one request to one daemon.
    static constexpr Milliseconds requestTimeout { 5000 };
    /// Timeout of one submission to one daemon. It is longer because the daemon answers only once the change is in
    /// force, or is not expected to be soon.
    static constexpr Milliseconds submissionTimeout { 15000 };

    AdminClient(event_base&, std::vector<SocketAddress> daemons, std::string key);

    /// Sends a GET request. If a daemon cannot be reached, its answer is lost or has status 503, the next daemon is
    /// tried.
    Result<HttpResponse, AdminError> get(const std::string& path);

    /// Sends a POST request to the first daemon that can be reached. If the answer is lost, the request is not
    /// repeated, because it may have taken effect.
    Result<HttpResponse, AdminError> post(const std::string& path, const std::string& body);

    /// Sends a POST request to the current daemon only. After a failure, the next daemon becomes the current one.
    Result<HttpResponse, AdminError> postToCurrent(const std::string& path, const std::string& body);

    /// Sends a GET request to the given daemon, without failover.
    Result<HttpResponse, AdminError> getFrom(const SocketAddress& daemon, const std::string& path);

    Result<DocumentRecord, AdminError> readDocument();
    Result<StatusReport, AdminError> readStatus();
    /// Reads the complete document text as of a change.
    Result<std::string, AdminError> readHistory(const std::string& changeId);

    /// Runs the event loop for the given time.
    void waitFor(Milliseconds);

    const std::vector<SocketAddress>& daemons() const { return this->daemonAddresses; }

private:
    Result<HttpResponse, AdminError> sendRequest(const SocketAddress&, const std::string& path, const std::string* body,
        Milliseconds timeout = AdminClient::requestTimeout);

    event_base& base;
    HttpClient http;
    std::vector<SocketAddress> daemonAddresses;
    std::string key;
    /// Index of the daemon that the next request goes to.
    std::size_t currentDaemon = 0;
};

} // namespace Greengage
