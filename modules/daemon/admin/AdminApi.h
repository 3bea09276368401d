#pragma once

#include <config/admin/StatusReport.h>
#include <core/time/Deadline.h>
#include <daemon/admin/RolloutJudge.h>
#include <daemon/admin/SubmissionEnd.h>
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

/// Answers operators' requests: the document, its history, submissions and the daemon's status.
class AdminApi {
public:
    struct Sources {
        const KnownConfiguration& configuration;
        const RolloutJudge& rollout;
        std::function<StatusReport()> status;
        std::function<std::string()> metricsPage;
        std::function<std::string()> burnRows;
        /// A record has been stored; it is to be applied at once.
        std::function<void(const DocumentRecord&)> stored;
    };

    AdminApi(event_base&, StoreClient&, Sources);
    ~AdminApi();

    void handle(const AdminRequest&, AdminServer::Responder);

private:
    /// An accepted submission whose operator waits until it is in force.
    struct Rollout {
        std::uint64_t revision = 0;
        Instant acceptedAt;
        Deadline answerBy;
        AdminServer::Responder respond;
    };

    void submit(const std::string& body, AdminServer::Responder);
    void handleEnd(SubmissionEnd, const AdminServer::Responder&);
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
