#pragma once

namespace Greengage {

/// The size of a site whose daemons are measured at rest.
struct RestSize {
    int daemons = 7;
    int endpoints = 50;
    int teams = 4;
};

} // namespace Greengage
