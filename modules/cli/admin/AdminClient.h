#pragma once

#include <cli/admin/AdminError.h>
#include <config/admin/StatusReport.h>
#include <config/model/DocumentRecord.h>
#include <config/settings/SocketAddress.h>
#include <core/errors/Result.h>
#include <core/time/Instant.h>
#include <store/http/HttpAnswer.h>
#include <store/http/HttpClient.h>

#include <string>
#include <vector>

struct event_base;

namespace Greengage {

/// Calls the admin ports of several daemons, one after another: the next daemon is asked when one cannot be reached.
/// Each call runs the loop until its answer is there. It belongs to the operators' tool; daemons do not wait like this.
class AdminClient {
public:
    /// Time for one exchange with one daemon.
    static constexpr Milliseconds exchangeTimeout { 5000 };
    /// Time for one submission to one daemon, which answers only when the change is in force or will not soon be.
    static constexpr Milliseconds submissionTimeout { 15000 };

    AdminClient(event_base&, std::vector<SocketAddress> daemons, std::string key);

    /// Reads a path. Where the answer is lost, or the daemon cannot tell, the next daemon is asked.
    Result<HttpAnswer, AdminError> get(const std::string& path);

    /// Sends a command to the first daemon that can be reached. A command whose answer is lost is not sent again.
    Result<HttpAnswer, AdminError> post(const std::string& path, const std::string& body);

    /// Submits a change to one daemon only; after a failure the next call goes to the next daemon.
    Result<HttpAnswer, AdminError> submitToNext(const std::string& path, const std::string& body);

    /// Reads a path from one daemon alone.
    Result<HttpAnswer, AdminError> getFrom(const SocketAddress& daemon, const std::string& path);

    Result<DocumentRecord, AdminError> readDocument();
    Result<StatusReport, AdminError> readStatus();
    /// The whole text that a change left.
    Result<std::string, AdminError> readHistory(const std::string& changeId);

    /// Runs the loop for that time.
    void pause(Milliseconds);

    const std::vector<SocketAddress>& daemons() const { return this->addresses; }

private:
    Result<HttpAnswer, AdminError> exchange(const SocketAddress&, const std::string& path, const std::string* body,
        Milliseconds timeout = AdminClient::exchangeTimeout);

    event_base& base;
    HttpClient http;
    std::vector<SocketAddress> addresses;
    std::string key;
    std::size_t current = 0;
};

} // namespace Greengage
