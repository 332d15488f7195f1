#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace jujubedrum
{

/// Numeric IP address and port as a `sockaddr` for socket calls.
class socket_address
{
public:
    /// Returns nothing if the text is not a numeric IPv4 or IPv6 address. Host
    /// names are not resolved.
    [[nodiscard]] static std::optional<socket_address>
    parse(const std::string& address, std::uint16_t port);

    [[nodiscard]] const sockaddr* data() const;
    [[nodiscard]] socklen_t size() const { return this->length; }

private:
    sockaddr_storage storage{};
    socklen_t length = 0;
};

} // namespace jujubedrum
