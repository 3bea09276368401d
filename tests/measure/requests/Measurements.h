#pragma once

namespace Greengage {

/// Measures how much of a team's limit is in use under load above the limit: escrow compared with equal fixed parts.
void measureLimits();
/// Measures the effect of one team's burst on other teams: fair shares and divided slots compared with order of arrival
/// and undivided slots.
void measureBursts();
/// Measures how many orders start more than once, and how many never, under faults: with claims and without.
void measureOrders();
/// Measures the number of sends per request while endpoints are overloaded or failing.
void measureRetries();
/// Measures how long a withdrawn key stays usable, and what a cut-off availability zone still serves.
void measureFreshness();

} // namespace Greengage
