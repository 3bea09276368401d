#pragma once

#include <core/time/Instant.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Greengage {

struct OpenOrders;

/// Encodes earlier orders for the next leader. The text holds ages and remaining times, rounded so that each wait ends
/// no sooner for the reader than for the writer, however long the text is under way.
class OpenOrdersCodec {
public:
    /// Rows beyond this number are left out. The next leader waits anew for what they tell of.
    static constexpr std::size_t maxRows = 1000;

    std::string encode(const OpenOrders&, Instant now) const;

    /// Rows that cannot be read are left out.
    OpenOrders decode(std::string_view text, Instant now) const;
};

} // namespace Greengage
