#pragma once

#include <core/errors/Result.h>
#include <core/text/Identifier.h>
#include <fleet/requests/limits/AllotmentError.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// The division of every team's upper limit into allotments, one for each daemon incarnation that holds any. It is
/// stored as one value and changed only by compare-and-swap.
class AllotmentBook {
public:
    /// Parses the text that `format` writes; an empty text is an empty book.
    static Result<AllotmentBook, AllotmentError> parse(std::string_view text);
    std::string format() const;

    int unitsOf(const TeamId&, const IncarnationId&) const;
    /// Sum of the units of all incarnations.
    int sumOf(const TeamId&) const;
    /// Sets an allotment; one of zero units is removed.
    void assign(const TeamId&, const IncarnationId&, int units);

    std::vector<TeamId> teamsOf(const IncarnationId&) const;
    std::vector<IncarnationId> incarnations() const;

    friend bool operator==(const AllotmentBook&, const AllotmentBook&) = default;

private:
    std::map<TeamId, std::map<IncarnationId, int>> units;
};

} // namespace Greengage
