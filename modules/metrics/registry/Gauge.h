#pragma once

namespace Greengage {

/// A quantity that goes up and down.
class Gauge {
public:
    void set(double amount) { this->current = amount; }
    double value() const { return this->current; }

private:
    double current = 0;
};

} // namespace Greengage
