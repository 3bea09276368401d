#pragma once

#include <config/model/DocumentRecord.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// How a fake daemon fails on the next submission.
enum class SubmissionFault {
    None,
    /// Accepts the change and closes the connection without an answer.
    AnswerLost,
    /// Like AnswerLost; afterwards another operator edits the last section of the document.
    AnswerLostThenEdited,
    /// Closes the connection without making the change.
    RequestLost,
    /// Answers with status 503 and outcome not_accepted; the change is not made.
    NotAccepted,
    /// Makes the change and answers with status 503 and outcome unknown.
    Unknown,
};

/// State shared by the fake daemons of one test: the document and the faults to inject.
struct FakeFleet {
    DocumentRecord record;
    /// Document texts by change id.
    std::map<std::string, std::string> history;
    std::deque<SubmissionFault> submissionFaults;
    /// Number of further status reports that name the revision before the newest as the one in force.
    int staleStatusReports = 0;
    bool loseNextWaveAnswer = false;
    std::vector<std::string> daemons;
    std::vector<std::string> waveCommands;
    int submissions = 0;
    std::int64_t unixMilliseconds = 1'796'364'000'000;
};

} // namespace Greengage
