#pragma once

#include <config/model/Document.h>
#include <core/log/LogRateLimiter.h>
#include <core/time/Instant.h>
#include <gateway/callers/CallerRefusal.h>
#include <loop/guard/CloseReason.h>
#include <metrics/burn/BurnTable.h>
#include <metrics/registry/MetricsRegistry.h>

#include <memory>
#include <vector>

namespace Greengage {

struct AnswerCaller;
struct AttemptEnded;

/// Counts, times and logs the outcomes of requests. Queue names that the document does not define are not used as
/// labels, so that callers cannot create metric series without bound.
class RequestObserver {
public:
    explicit RequestObserver(MetricsRegistry&);

    void documentApplied(std::shared_ptr<const Document>);
    void answered(const AnswerCaller&, const QueueId&, Microseconds latency);
    void refused(CallerRefusal);
    /// A connection to this listener was closed to keep the limits.
    void connectionClosed(const char* listener, CloseReason);
    void attemptEnded(const AttemptEnded&);

    std::vector<BurnRow> burnRows(Instant now) const { return this->burn.rows(now); }

private:
    const Queue* findQueue(const QueueId&) const;
    void recordBurn(const AnswerCaller&, const Queue&, Microseconds latency, Instant now);

    MetricsRegistry& registry;
    std::shared_ptr<const Document> document;
    BurnTable burn;
    LogRateLimiter log;
};

} // namespace Greengage
