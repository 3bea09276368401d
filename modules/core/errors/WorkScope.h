#pragma once

#include <core/errors/WorkKind.h>

#include <exception>
#include <string_view>

namespace Greengage {

/// Names what is worked on until the end of the block, for the report of an error that leaves the block. Scopes nest.
/// The id is copied only when an error leaves, so it must outlive the scope.
class WorkScope {
public:
    explicit WorkScope(WorkKind kind, std::string_view id = {})
        : kind(kind)
        , id(id)
        , exceptionsAtStart(std::uncaught_exceptions())
    {
    }

    ~WorkScope()
    {
        if (std::uncaught_exceptions() > this->exceptionsAtStart)
            this->noteError();
    }

    WorkScope(const WorkScope&) = delete;
    WorkScope& operator=(const WorkScope&) = delete;

private:
    void noteError() const noexcept;

    WorkKind kind;
    std::string_view id;
    int exceptionsAtStart;
};

} // namespace Greengage
