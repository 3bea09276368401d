#include <coordinator/store/AnswerTimeout.h>

#include <boost/test/unit_test.hpp>

using namespace Greengage;

BOOST_AUTO_TEST_SUITE(WaitingForAnswers)

BOOST_AUTO_TEST_CASE(lostAnswersAmongQuickOnesKeepTheLimitShort)
{
    AnswerTimeout timeout;
    Milliseconds longest { 0 };
    // Two of five answers are lost.
    for (int call = 0; call < 100; ++call) {
        longest = std::max(longest, timeout.limit());
        if (call % 5 == 1 || call % 5 == 3)
            timeout.recordSilence();
        else
            timeout.recordAnswer(Milliseconds(5));
    }
    BOOST_TEST((longest <= AnswerTimeout::shortest * 2));
}

BOOST_AUTO_TEST_CASE(aSlowStoreIsGivenItsTimeAfterAFewCalls)
{
    constexpr Milliseconds slow { 300 };
    AnswerTimeout timeout;
    timeout.recordAnswer(Milliseconds(5));
    int unanswered = 0;
    for (int call = 0; call < 10; ++call) {
        if (timeout.limit() < slow) {
            unanswered += 1;
            timeout.recordSilence();
        } else
            timeout.recordAnswer(slow);
    }
    BOOST_TEST(unanswered <= 2);
    BOOST_TEST((timeout.limit() > slow));
    // It becomes fast again.
    for (int call = 0; call < 40; ++call)
        timeout.recordAnswer(Milliseconds(5));
    BOOST_TEST((timeout.limit() == AnswerTimeout::shortest));
}

BOOST_AUTO_TEST_CASE(theLimitIsBoundedWhileNothingIsAnswered)
{
    AnswerTimeout timeout;
    for (int call = 0; call < 40; ++call)
        timeout.recordSilence();
    BOOST_TEST((timeout.limit() == AnswerTimeout::longest));
}

BOOST_AUTO_TEST_SUITE_END()
