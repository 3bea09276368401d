#include <standins/caller/CallerLoad.h>

#include <standins/common/KeyValueLine.h>

namespace Greengage {

namespace {

/// Reads a whole number that is at least 1, if the key is there; tells whether it was right.
template <typename Number> bool readNumber(const KeyValueLine& line, const std::string& key, Number& target)
{
    if (!line.has(key))
        return true;
    auto value = line.number(key);
    if (!value || *value < 1)
        return false;
    target = static_cast<Number>(*value);
    return true;
}

} // namespace

Result<CallerLoad, std::string> CallerLoad::parse(const std::string& text)
{
    auto line = KeyValueLine::parse(text);
    if (!line || line->text("queue").empty())
        return "load \"" + text + "\" is not of the form queue=NAME key=value ...";
    CallerLoad load;
    load.queue = line->text("queue");
    load.team = line->text("team");
    load.bearer = line->text("bearer");
    load.idempotent = line->text("idempotent") != "false";
    long long deadline = load.deadline.count();
    long long attemptLimit = 0;
    bool right = readNumber(*line, "rate", load.rate) && readNumber(*line, "run_ms", load.runMilliseconds)
        && readNumber(*line, "deadline_ms", deadline) && readNumber(*line, "attempt_ms", attemptLimit)
        && readNumber(*line, "body_bytes", load.bodyBytes) && readNumber(*line, "answer_bytes", load.answerBytes);
    if (!right)
        return "load \"" + text + "\" has a value that is no whole number above 0";
    load.deadline = Milliseconds(deadline);
    load.attemptLimit = Milliseconds(attemptLimit);
    return load;
}

} // namespace Greengage
