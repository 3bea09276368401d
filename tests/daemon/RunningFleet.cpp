#include <tests/daemon/RunningFleet.h>

#include <boost/test/unit_test.hpp>

namespace Greengage {

RunningFleet::RunningFleet()
{
    this->startDaemon(1);
    this->startDaemon(2);
    FleetFixture::awaitTrue("both daemons know each other", [this] {
        return this->admin(1, "/v1/status").body.find("\"d2\"") != std::string::npos
            && this->admin(2, "/v1/status").body.find("\"d1\"") != std::string::npos;
    });
    HttpReply accepted = this->submit(1, "first", 0, this->documentText());
    BOOST_REQUIRE_MESSAGE(accepted.status == 200, accepted.body);
    BOOST_TEST(accepted.body.find("\"inForce\":true") != std::string::npos, accepted.body);
    this->awaitServing(1);
    this->awaitServing(2);
}

void RunningFleet::awaitServing(int number)
{
    this->awaitHealthy(number);
    FleetFixture::awaitTrue("daemon reaches endpoints",
        [this, number] { return this->call(number, "prices", {}, "call=probe\n").status == 200; });
}

} // namespace Greengage
