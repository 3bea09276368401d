#pragma once

#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct CallerLeft;
struct RequestRow;

/// Ends requests that nobody waits for any more: their deadline has passed or their caller has left.
class RequestExpiry {
public:
    explicit RequestExpiry(Tick&);

    void handle(const CallerLeft&);
    void run();

private:
    OutcomeReason reasonFor(const RequestRow&) const;

    Tick& tick;
};

} // namespace Greengage
