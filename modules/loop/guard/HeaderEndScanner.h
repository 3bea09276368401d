#pragma once

#include <string_view>

namespace Greengage {

/// Finds the blank line that ends a request's headers in bytes that arrive in parts.
class HeaderEndScanner {
public:
    /// Whether the headers end within these bytes, which follow those of earlier calls. Carriage returns count for
    /// nothing.
    bool feed(std::string_view bytes)
    {
        for (char byte : bytes) {
            if (byte == '\r')
                continue;
            if (byte == '\n' && this->isAtLineStart)
                return true;
            this->isAtLineStart = byte == '\n';
        }
        return false;
    }

private:
    bool isAtLineStart = false;
};

} // namespace Greengage
