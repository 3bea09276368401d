#pragma once

#include <core/log/LogRateLimiter.h>
#include <daemon/admin/DocumentSubmitter.h>
#include <fleet/maintenance/messages/MoveVm.h>

#include <functional>
#include <memory>

struct event_base;

namespace Greengage {

class StoreClient;
struct KnownConfiguration;

/// Moves VMs between pools by submitting changes of the document, one at a time. A move that does not apply to its base
/// revision is dropped; the maintenance plane requests it again for the newer document.
class VmMover {
public:
    using OnStored = std::function<void(const DocumentRecord&)>;

    VmMover(event_base&, StoreClient&, const KnownConfiguration&, OnStored onStored);

    void move(const MoveVm&);

private:
    void handleOutcome(const MoveVm&, const SubmissionOutcome&);

    event_base& base;
    StoreClient& store;
    const KnownConfiguration& configuration;
    OnStored onStored;
    std::unique_ptr<DocumentSubmitter> submitter;
    LogRateLimiter log;
};

} // namespace Greengage
