#pragma once

#include <daemon/admin/DocumentSubmitter.h>
#include <daemon/events/RepeatedEvent.h>
#include <fleet/maintenance/messages/MoveVm.h>

#include <functional>
#include <memory>

struct event_base;

namespace Greengage {

class StoreClient;
struct KnownConfiguration;

/// Carries out moves of VMs between pools as changes of the document, one at a time. A move that cannot be made against
/// its base revision is dropped; the maintenance plane asks anew for the newer document.
class VmMover {
public:
    using Stored = std::function<void(const DocumentRecord&)>;

    VmMover(event_base&, StoreClient&, const KnownConfiguration&, Stored stored);

    void move(const MoveVm&);

private:
    void handleEnd(const MoveVm&, const SubmissionEnd&);

    event_base& base;
    StoreClient& store;
    const KnownConfiguration& configuration;
    Stored stored;
    std::unique_ptr<DocumentSubmitter> submitter;
    RepeatedEvent log;
};

} // namespace Greengage
