#pragma once

namespace Greengage {

/// Limits the sends beyond the first one of each request to a twelfth of all first sends, plus a small initial
/// allowance, so that retries cannot amplify an overload.
class RetryBudget {
public:
    void addFirstSend();
    /// Charges one extra send to the budget; false if the budget is spent.
    bool consumeExtraSend();

private:
    static constexpr int unitsPerSend = 12;
    static constexpr int maxUnits = 5 * unitsPerSend;

    int units = maxUnits;
};

} // namespace Greengage
