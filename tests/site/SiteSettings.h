#pragma once

#include <cstddef>
#include <string>

namespace Greengage {

class SiteLayout;

/// The settings files of a test site's daemons.
class SiteSettings {
public:
    static constexpr const char* operatorKey = "operator-key";

    /// The settings of the daemon at that place in the layout.
    static std::string text(const SiteLayout&, std::size_t index, bool relayed);
};

} // namespace Greengage
