#pragma once

namespace Greengage {

/// A value that can go up and down.
class Gauge {
public:
    void set(double newValue) { this->current = newValue; }
    double value() const { return this->current; }

private:
    double current = 0;
};

} // namespace Greengage
