#include <cstdio>
#include <tests/measure/requests/Measurements.h>

int main()
{
    std::puts("Virtual time; 7 daemons in 4 availability zones, one-way latency 1 ms, store answers in 3 ms.");
    Greengage::measureLimits();
    Greengage::measureBursts();
    Greengage::measureOrders();
    Greengage::measureRetries();
    Greengage::measureFreshness();
    return 0;
}
