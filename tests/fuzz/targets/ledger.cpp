#include <fleet/maintenance/ledger/MaintenanceLedger.h>
#include <fleet/requests/limits/AllotmentTable.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Decodes the maintenance ledger and the allotments of limits, both kept in the store. What is decoded must survive
/// encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = inputText(data, size);
    auto table = AllotmentTable::parse(text);
    if (table.has_value())
        requireProperty(AllotmentTable::parse(table.value().format()).value().format() == table.value().format());
    auto ledger = MaintenanceLedger::decode(text);
    if (!ledger.has_value())
        return 0;
    auto again = MaintenanceLedger::decode(ledger.value().encode());
    requireProperty(again.has_value() && again.value() == ledger.value());
    return 0;
}
