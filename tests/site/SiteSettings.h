#pragma once

#include <cstddef>
#include <string>

namespace Greengage {

class SiteLayout;

/// The settings files of the daemons of a test site.
class SiteSettings {
public:
    static constexpr const char* operatorKey = "operator-key";

    /// The settings of the daemon with this index in the layout.
    static std::string text(const SiteLayout&, std::size_t index, bool relayed);
};

} // namespace Greengage
