#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Numeric IP address and port.
struct endpoint
{
    /// Returns the endpoint in "ADDRESS:PORT" or "[IPV6]:PORT". Host names are
    /// not accepted.
    [[nodiscard]] static std::optional<endpoint> parse(const std::string& text);

    std::string address;
    std::uint16_t port = 0;
};

} // namespace jujubedrum
