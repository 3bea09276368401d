#include <core/checks/Assertion.h>

#include <cstdio>
#include <cstdlib>

namespace Greengage {

void reportBrokenInvariant(const char* condition, const char* file, int line)
{
    std::fprintf(stderr, "event=broken_invariant condition=\"%s\" file=%s line=%d\n", condition, file, line);
    std::abort();
}

} // namespace Greengage
