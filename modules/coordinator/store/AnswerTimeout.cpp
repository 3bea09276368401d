#include <coordinator/store/AnswerTimeout.h>

#include <algorithm>

namespace Greengage {

Milliseconds AnswerTimeout::limit() const
{
    return std::min(longest, this->limitFor(this->averageDuration) * (1 << this->doublings));
}

void AnswerTimeout::recordAnswer(Microseconds duration)
{
    // An answer that came only because the limit had been doubled shows that the store has become slow.
    if (duration > this->limitFor(this->averageDuration))
        this->averageDuration = duration;
    else
        this->averageDuration += (duration - this->averageDuration) / averageDivisor;
    this->doublings = 0;
}

void AnswerTimeout::recordSilence() { this->doublings = std::min(maxDoublings, this->doublings + 1); }

Milliseconds AnswerTimeout::limitFor(Microseconds duration) const
{
    return std::clamp(std::chrono::duration_cast<Milliseconds>(duration * limitFactor), shortest, longest);
}

} // namespace Greengage
