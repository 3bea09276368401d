#pragma once

#include <fleet/requests/messages/AnswerCaller.h>
#include <fleet/requests/tables/Tick.h>

namespace Greengage {

struct CallerLeft;
struct RequestRow;

/// Ends waiting requests whose deadline has passed or whose caller has left.
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
