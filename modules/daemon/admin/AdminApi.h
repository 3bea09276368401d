#pragma once

#include <config/admin/StatusReport.h>
#include <core/time/Deadline.h>
#include <daemon/admin/RolloutTracker.h>
#include <daemon/admin/SubmissionOutcome.h>
#include <gateway/admin/AdminServer.h>
#include <loop/timers/Timer.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

class DocumentSubmitter;
class StoreClient;
struct DocumentSubmission;
struct KnownConfiguration;

/// Handles requests to the admin port: the document, its history, submissions, status and metrics.
class AdminApi {
public:
    struct Sources {
        const KnownConfiguration& configuration;
        const RolloutTracker& rollout;
        std::function<StatusReport()> status;
        std::function<std::string()> metricsPage;
        std::function<std::string()> burnRows;
        /// Called with a record that a submission has stored, so that this daemon applies it at once.
        std::function<void(const DocumentRecord&)> onDocumentStored;
    };

    AdminApi(event_base&, StoreClient&, Sources);
    ~AdminApi();

    void handle(const AdminRequest&, AdminServer::Responder);

private:
    /// A stored submission whose response is sent once every daemon has applied it, or at `answerBy`.
    struct Rollout {
        std::uint64_t revision = 0;
        Instant acceptedAt;
        Deadline answerBy;
        AdminServer::Responder respond;
    };

    void submit(const std::string& body, AdminServer::Responder);
    void handleOutcome(SubmissionOutcome, const AdminServer::Responder&);
    void awaitRollout(std::uint64_t revision, AdminServer::Responder);
    void checkRollouts();
    void readHistory(const std::string& changeId, AdminServer::Responder);

    event_base& base;
    StoreClient& store;
    Sources sources;
    std::list<std::unique_ptr<DocumentSubmitter>> submitters;
    std::vector<Rollout> rollouts;
    Timer rolloutTimer;
};

} // namespace Greengage
