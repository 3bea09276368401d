#pragma once

#include <core/time/Instant.h>
#include <fleet/requests/RequestInput.h>
#include <fleet/requests/RequestOutput.h>

#include <string>
#include <vector>

namespace Greengage {

/// Formats a session of a request plane as text: each tick's instant, its inputs (">") and its outputs ("<").
class SessionTranscript {
public:
    void add(Instant now, const std::vector<RequestInput>&, const std::vector<RequestOutput>&);
    const std::string& text() const { return this->lines; }

private:
    std::string lines;
};

} // namespace Greengage
