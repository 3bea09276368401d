#include <gateway/endpoints/RunningParser.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Parses an endpoint's list of running work.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto running = parseRunning(inputText(data, size));
    return 0;
}
