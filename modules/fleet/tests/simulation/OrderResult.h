#pragma once

namespace Greengage {

/// Outcomes of orders, each submitted up to four times.
struct OrderResult {
    int orders = 0;
    /// Orders that an endpoint started, and those that were started more than once.
    int begun = 0;
    int begunTwice = 0;
    /// Submissions, and those answered "unknown".
    int submissions = 0;
    int unknown = 0;
    /// Submissions answered "not run" that an endpoint had started.
    int untrueNotRun = 0;
};

} // namespace Greengage
