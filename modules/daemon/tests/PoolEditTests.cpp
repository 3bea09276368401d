#include <boost/test/unit_test.hpp>

#include <daemon/maintenance/PoolEdit.h>

namespace Greengage {

namespace {

const std::string text = "; the first line\n[pool a]\nowner = o ; who\nvms = vm-1 vm-10\n    vm-2, vm-3\n\n"
                         "[pool b]\nowner = o\nvms = vm-4\n[pool empty]\nowner = o\n";

std::string moveVm(const std::string& vm, const std::string& from, const std::string& to)
{
    return moveVmInText(text, VmId(vm), PoolId(from), PoolId(to)).value_or("nothing");
}

} // namespace

BOOST_AUTO_TEST_SUITE(PoolEditTests)

BOOST_AUTO_TEST_CASE(onlyTheMovedVmChangesInTheText)
{
    BOOST_TEST(moveVm("vm-1", "a", "b")
        == "; the first line\n[pool a]\nowner = o ; who\nvms = vm-10\n    vm-2, vm-3\n\n"
           "[pool b]\nowner = o\nvms = vm-4 vm-1\n[pool empty]\nowner = o\n");
    BOOST_TEST(moveVm("vm-3", "a", "empty")
        == "; the first line\n[pool a]\nowner = o ; who\nvms = vm-1 vm-10\n    vm-2\n\n"
           "[pool b]\nowner = o\nvms = vm-4\n[pool empty]\nvms = vm-3\nowner = o\n");
}

BOOST_AUTO_TEST_CASE(lastVmOfAPoolCanBeMoved)
{
    std::string edited = moveVm("vm-4", "b", "a");
    BOOST_TEST(edited.find("vm-2, vm-3 vm-4\n") != std::string::npos, edited);
}

BOOST_AUTO_TEST_CASE(unknownVmsAndPoolsAreNotMoved)
{
    BOOST_TEST(moveVm("vm-9", "a", "b") == "nothing");
    BOOST_TEST(moveVm("vm-4", "a", "b") == "nothing");
    BOOST_TEST(moveVm("vm-1", "a", "c") == "nothing");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Greengage
