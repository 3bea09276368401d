#include <jobs/model/TaskName.h>

#include <array>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

std::string TaskName::text() const
{
    return fmt::format("{}.{}.{}.{}", this->job.string(), this->occurrence, this->step, this->index);
}

std::optional<TaskName> TaskName::parse(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers {};
    for (std::size_t position = numbers.size(); position-- > 0;) {
        auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const char* end = text.data() + text.size();
        auto [parsedTo, error] = std::from_chars(text.data() + dot + 1, end, numbers[position]);
        if (error != std::errc() || parsedTo != end)
            return std::nullopt;
        text = text.substr(0, dot);
    }
    return TaskName { JobId(std::string(text)), numbers[0], numbers[1], numbers[2] };
}

} // namespace Greengage
