#pragma once

namespace Greengage {

/// How much of a team's limit is in use under a load above it: escrow beside equal fixed parts.
void measureLimits();
/// What bursts of one team do to the others: shares and divided slots beside order of arrival and undivided slots.
void measureBursts();
/// How many orders are begun twice, and how many never, under faults: claims beside none.
void measureOrders();
/// Sends for each request while the endpoints are overloaded.
void measureRetries();
/// How long a withdrawn key goes on working, and what a cut-off availability zone still serves.
void measureFreshness();

} // namespace Greengage
