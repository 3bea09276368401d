#pragma once

#include <core/errors/Result.h>
#include <core/text/Identifier.h>
#include <fleet/requests/limits/AllotmentError.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// The split of every team's upper limit into allotments, one for each incarnation of a daemon that holds any. It is
/// kept as one value in the store and changed by compare-and-swap only.
class AllotmentBook {
public:
    /// Reads the form that `format` writes; an empty text is an empty book.
    static Result<AllotmentBook, AllotmentError> parse(std::string_view text);
    std::string format() const;

    int unitsOf(const TeamId&, const IncarnationId&) const;
    /// Units of all incarnations together.
    int sumOf(const TeamId&) const;
    /// An allotment of zero units is removed.
    void assign(const TeamId&, const IncarnationId&, int units);

    std::vector<TeamId> teamsOf(const IncarnationId&) const;
    std::vector<IncarnationId> incarnations() const;

    friend bool operator==(const AllotmentBook&, const AllotmentBook&) = default;

private:
    std::map<TeamId, std::map<IncarnationId, int>> units;
};

} // namespace Greengage
