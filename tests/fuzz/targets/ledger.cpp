#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/requests/limits/AllotmentBook.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Decodes the maintenance ledger and the allotments of limits, both kept in the store. What is decoded must survive
/// encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = inputText(data, size);
    auto book = AllotmentBook::parse(text);
    if (book.has_value())
        requireProperty(AllotmentBook::parse(book.value().format()).value().format() == book.value().format());
    auto ledger = MaintenanceLedger::decode(text);
    if (!ledger.has_value())
        return 0;
    auto again = MaintenanceLedger::decode(ledger.value().encode());
    requireProperty(again.has_value() && again.value() == ledger.value());
    return 0;
}
