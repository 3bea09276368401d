#pragma once

namespace Greengage {

/// The size of a site whose idle daemons are measured.
struct IdleSize {
    int daemons = 7;
    int endpoints = 50;
    int teams = 4;
};

} // namespace Greengage
