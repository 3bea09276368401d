#pragma once

namespace Greengage {

/// Bounds the sends beyond the first of each request to a twelfth of the first sends, with a small allowance for the
/// start, so that retries cannot multiply an overload.
class RetryBudget {
public:
    void addFirstSend();
    /// Takes one extra send out of the budget; false if it is spent.
    bool consumeExtraSend();

private:
    static constexpr int unitsPerSend = 12;
    static constexpr int maxUnits = 5 * unitsPerSend;

    int units = maxUnits;
};

} // namespace Greengage
