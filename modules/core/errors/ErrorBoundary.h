#pragma once

#include <core/errors/ErrorEffect.h>
#include <core/errors/WorkScope.h>

#include <cstddef>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace Greengage {

struct UnforeseenError;

/// Decides what an unforeseen error does: while a boundary exists, an exception that reaches `run` is logged and passed
/// to the boundary's handler, and the process goes on. Without one it goes through `run` and ends the process. There is
/// at most one boundary at a time, and it serves one thread.
class ErrorBoundary {
public:
    using Handler = std::function<void(const UnforeseenError&)>;

    /// `handler` is called after the error has been logged, and has to bring the affected state back into order.
    explicit ErrorBoundary(Handler);
    ~ErrorBoundary();

    ErrorBoundary(const ErrorBoundary&) = delete;
    ErrorBoundary& operator=(const ErrorBoundary&) = delete;

    /// Does a piece of work. Returns false if an error ended it early; `effect` says what the error may have left half
    /// changed. The id must outlive the work.
    template <typename Work> static bool run(ErrorEffect effect, WorkKind kind, std::string_view id, Work&& work)
    {
        if (!current) {
            std::forward<Work>(work)();
            return true;
        }
        std::size_t notesBefore = noteCount();
        try {
            WorkScope scope(kind, id);
            std::forward<Work>(work)();
            return true;
        } catch (const std::exception& error) {
            current->report(effect, error.what(), notesBefore);
        } catch (...) {
            current->report(effect, "not a standard exception", notesBefore);
        }
        return false;
    }

private:
    static std::size_t noteCount();
    void report(ErrorEffect, const char* message, std::size_t notesBefore) noexcept;

    static ErrorBoundary* current;
    Handler handler;
};

} // namespace Greengage
