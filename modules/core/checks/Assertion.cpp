#include <core/checks/Assertion.h>

#include <cstdio>
#include <cstdlib>

namespace Greengage {

void reportInvariantViolation(const char* condition, const char* file, int line)
{
    std::fprintf(stderr, "event=invariant_violated condition=\"%s\" file=%s line=%d\n", condition, file, line);
    std::abort();
}

} // namespace Greengage
