#include <store/http/HttpResponse.h>

#include <algorithm>
#include <cctype>

namespace Greengage {

namespace {

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char one, unsigned char other) { return std::tolower(one) == std::tolower(other); });
}

} // namespace

std::string_view HttpResponse::header(std::string_view name) const
{
    for (const auto& field : this->headers) {
        if (equalIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

} // namespace Greengage
