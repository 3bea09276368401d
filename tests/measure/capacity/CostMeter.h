#pragma once

#include <ctime>
#include <malloc.h>

namespace Greengage {

/// Measures the processor time and heap of this process.
class CostMeter {
public:
    /// Processor time of one call of `work` in microseconds. Returns the minimum over several rounds of `repeats`
    /// calls, since interference from other processes only adds time.
    template <typename Work> static double microsecondsOf(int repeats, const Work& work)
    {
        constexpr int rounds = 5;
        double least = 0;
        for (int round = 0; round < rounds; ++round) {
            double begin = processorMicroseconds();
            for (int repeat = 0; repeat < repeats; ++repeat)
                work();
            double perCall = (processorMicroseconds() - begin) / repeats;
            least = round == 0 || perCall < least ? perCall : least;
        }
        return least;
    }

    /// Bytes of heap in use.
    static double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

private:
    static double processorMicroseconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }
};

} // namespace Greengage
