#include <core/errors/ErrorBoundary.h>

#include <core/checks/Assertion.h>
#include <core/errors/UnforeseenError.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>

#include <string>
#include <vector>

namespace Greengage {

namespace {

/// What was worked on when an error that is still on its way passed, innermost first.
std::vector<std::pair<WorkKind, std::string>> notes;

std::string describe(const std::vector<std::pair<WorkKind, std::string>>& work)
{
    std::string text;
    for (auto entry = work.rbegin(); entry != work.rend(); ++entry) {
        if (!text.empty())
            text += " > ";
        text += nameOf(entry->first);
        if (!entry->second.empty())
            text += " " + entry->second;
    }
    return text;
}

} // namespace

ErrorBoundary* ErrorBoundary::current = nullptr;

ErrorBoundary::ErrorBoundary(Handler handler)
    : handler(std::move(handler))
{
    assertInvariant(!current, "there is one error boundary at a time");
    current = this;
}

ErrorBoundary::~ErrorBoundary() { current = nullptr; }

std::size_t ErrorBoundary::noteCount() { return notes.size(); }

void ErrorBoundary::report(ErrorEffect effect, const char* message, std::size_t notesBefore) noexcept
{
    // What the report itself needs may be what has run out, such as memory.
    try {
        UnforeseenError error { effect, message, {} };
        auto firstNote = notes.begin() + static_cast<std::ptrdiff_t>(notesBefore);
        error.work.assign(firstNote, notes.end());
        notes.erase(firstNote, notes.end());
        writeLog(LogLevel::Error,
            LogLine("unforeseen_error")
                .add("work", describe(error.work))
                .add("effect", nameOf(effect))
                .add("error", message));
        this->handler(error);
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, LogLine("error_handling_failed").add("error", error.what()));
    } catch (...) {
        writeLog(LogLevel::Error, LogLine("error_handling_failed").add("error", "not a standard exception"));
    }
}

void WorkScope::noteError() const noexcept
{
    try {
        notes.emplace_back(this->kind, this->id);
    } catch (const std::exception&) {
        // The error that is on its way is reported, without this part of its context.
        return;
    }
}

} // namespace Greengage
