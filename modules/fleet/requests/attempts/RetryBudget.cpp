#include <fleet/requests/attempts/RetryBudget.h>

#include <algorithm>

namespace Greengage {

void RetryBudget::addFirstSend() { this->units = std::min(this->units + 1, maxUnits); }

bool RetryBudget::consumeExtraSend()
{
    if (this->units < unitsPerSend)
        return false;
    this->units -= unitsPerSend;
    return true;
}

} // namespace Greengage
