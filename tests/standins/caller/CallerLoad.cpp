#include <standins/caller/CallerLoad.h>

#include <standins/common/KeyValueLine.h>

namespace Greengage {

namespace {

/// Reads the value of a key as a whole number of at least 1 into `target`. Returns false if the value is anything else;
/// an absent key leaves `target` unchanged and is no error.
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
        return "load \"" + text + "\" is not of the form \"queue=NAME key=value ...\"";
    CallerLoad load;
    load.queue = line->text("queue");
    load.team = line->text("team");
    load.bearer = line->text("bearer");
    load.idempotent = line->text("idempotent") != "false";
    long long deadline = load.deadline.count();
    long long attemptLimit = 0;
    bool valid = readNumber(*line, "rate", load.rate) && readNumber(*line, "run_ms", load.runMilliseconds)
        && readNumber(*line, "deadline_ms", deadline) && readNumber(*line, "attempt_ms", attemptLimit)
        && readNumber(*line, "body_bytes", load.bodyBytes) && readNumber(*line, "answer_bytes", load.answerBytes);
    if (!valid)
        return "load \"" + text + "\" has a value that is not a whole number above 0";
    load.deadline = Milliseconds(deadline);
    load.attemptLimit = Milliseconds(attemptLimit);
    return load;
}

} // namespace Greengage
