#pragma once

#include <config/model/DocumentRecord.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Greengage {

/// What a fake daemon does with the next submission.
enum class SubmissionFault {
    None,
    /// The change is made and the connection closed without an answer.
    AnswerLost,
    /// As AnswerLost; then another operator alters the section that was changed last.
    AnswerLostThenEdited,
    /// The connection is closed before the change is made.
    RequestLost,
    /// 503, certainly not made.
    NotAccepted,
    /// 503 after the change was made.
    Unknown,
};

/// What the fake daemons of one test share: the document, and the faults that are to come.
struct FakeFleet {
    DocumentRecord record;
    std::map<std::string, std::string> history;
    std::deque<SubmissionFault> submissionFaults;
    /// How many more status reports name the revision before the newest as the one in force.
    int statusesBehind = 0;
    bool nextWaveAnswerIsLost = false;
    std::vector<std::string> daemons;
    std::vector<std::string> waveCommands;
    int submissions = 0;
    std::int64_t unixMilliseconds = 1'796'364'000'000;
};

} // namespace Greengage
