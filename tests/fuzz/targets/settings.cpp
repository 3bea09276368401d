#include <config/config.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Parses settings. A text that is refused must have errors; accepted settings must be within range.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto parsed = SettingsParser().parse(inputText(data, size));
    if (parsed.has_error())
        requireProperty(!parsed.error().isEmpty());
    else
        requireProperty(parsed.value().store.port > 0 && !parsed.value().name.isEmpty());
    return 0;
}
