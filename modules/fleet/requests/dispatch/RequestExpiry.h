#pragma once

#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct CallerDisconnected;
struct RequestRow;

/// Ends waiting requests whose deadline has passed or whose caller has disconnected.
class RequestExpiry {
public:
    explicit RequestExpiry(Tick&);

    void handle(const CallerDisconnected&);
    void run();

private:
    OutcomeReason reasonFor(const RequestRow&) const;

    Tick& tick;
};

} // namespace Greengage
