#include <tests/site/SitePlan.h>

namespace Greengage {

SitePlan SitePlan::workshop()
{
    SitePlan plan;
    plan.services = {
        { "pricing", "quotes", "booking", true, 12 },
        { "wax-stock", "reservations", "venue", false, 10 },
        { "wick-layout", "layouts", "lighting", true, 10 },
        { "light-preview", "previews", "", true, 8 },
        { "ordering", "orders", "booking", false, 10 },
    };
    plan.limits = { { "booking", 120 }, { "venue", 60 }, { "lighting", 60 }, { "visitors", 40 } };
    return plan;
}

SitePlan SitePlan::small()
{
    SitePlan plan;
    plan.daemonZones = { 1, 1, 2, 2 };
    plan.zones = 2;
    plan.services = {
        { "pricing", "quotes", "booking", true, 4 },
        { "ordering", "orders", "venue", false, 4 },
    };
    plan.limits = { { "booking", 24 }, { "venue", 24 } };
    return plan;
}

} // namespace Greengage
