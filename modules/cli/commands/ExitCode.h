#pragma once

#include <core/text/EnumNames.h>

namespace Greengage {

/// Exit codes of greengagectl. The numbers are part of its interface, because scripts rely on them.
enum class ExitCode {
    Done = 0,
    /// `diff` found differences.
    Different = 1,
    /// The command line is wrong, or a file cannot be read.
    Usage = 2,
    /// The document is invalid; the output lists every error.
    InvalidDocument = 3,
    /// Another operator has changed the same sections since the base revision.
    Conflict = 4,
    /// No daemon accepted the command; nothing has changed.
    NotAccepted = 5,
    /// The answer was lost; the change may or may not have been made.
    Unknown = 6,
    /// Accepted, but not in force everywhere within the timeout.
    NotInForce = 7,
    /// The operators' key is missing or wrong.
    NotAuthorised = 8,
    /// The daemon refuses the command as it stands, for example because the document does not have the wave.
    Refused = 9,
};

template <> struct EnumNames<ExitCode> {
    static constexpr std::array<std::pair<ExitCode, std::string_view>, 10> table { {
        { ExitCode::Done, "done" },
        { ExitCode::Different, "diff found differences" },
        { ExitCode::Usage, "wrong command line or unreadable file" },
        { ExitCode::InvalidDocument, "the document has faults" },
        { ExitCode::Conflict, "another operator has changed the same sections" },
        { ExitCode::NotAccepted, "no daemon accepted the command; nothing has changed" },
        { ExitCode::Unknown, "the answer was lost; the change may or may not have been made" },
        { ExitCode::NotInForce, "accepted, but not in force everywhere within the timeout" },
        { ExitCode::NotAuthorised, "the operators' key is missing or wrong" },
        { ExitCode::Refused, "the daemon refuses the command as it stands" },
    } };
};

} // namespace Greengage
