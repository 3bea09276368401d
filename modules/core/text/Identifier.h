#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Greengage {

/// A strongly typed name: the compiler rejects, for example, a team's name where a pool's name is expected.
template <typename Tag> class Identifier {
public:
    Identifier() = default;

    explicit Identifier(std::string text)
        : text(std::move(text))
    {
    }

    const std::string& string() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    friend auto operator<=>(const Identifier&, const Identifier&) = default;
    friend bool operator==(const Identifier&, const Identifier&) = default;

private:
    std::string text;
};

using VmId = Identifier<struct VmTag>;
using ZoneId = Identifier<struct ZoneTag>;
using RackId = Identifier<struct RackTag>;
using PoolId = Identifier<struct PoolTag>;
using ServiceId = Identifier<struct ServiceTag>;
using QueueId = Identifier<struct QueueTag>;
using TeamId = Identifier<struct TeamTag>;
using KeyId = Identifier<struct KeyTag>;
using WaveId = Identifier<struct WaveTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
using DaemonId = Identifier<struct DaemonTag>;
using RequestId = Identifier<struct RequestTag>;
using JobId = Identifier<struct JobTag>;
using WorkerId = Identifier<struct WorkerTag>;

/// Identifies one run of a daemon's process. A restarted daemon keeps its DaemonId and gets a new IncarnationId.
using IncarnationId = Identifier<struct IncarnationTag>;

} // namespace Greengage

template <typename Tag> struct std::hash<Greengage::Identifier<Tag>> {
    std::size_t operator()(const Greengage::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.string());
    }
};
