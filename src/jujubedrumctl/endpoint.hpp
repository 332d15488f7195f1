#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Numeric IP address and port.
struct endpoint
{
    /// Parses "ADDRESS:PORT" or "[IPV6]:PORT". Returns nothing for any other
    /// text, including a host name or port 0.
    [[nodiscard]] static std::optional<endpoint> parse(const std::string& text);

    std::string address;
    std::uint16_t port = 0;
};

} // namespace jujubedrum
