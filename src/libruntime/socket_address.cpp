#include "socket_address.hpp"

#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jujubedrum
{

std::optional<socket_address> socket_address::parse(const std::string& address,
                                                    std::uint16_t port)
{
    socket_address result;
    sockaddr_in ipv4{};
    if (inet_pton(AF_INET, address.c_str(), &ipv4.sin_addr) == 1)
    {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(port);
        std::memcpy(&result.storage, &ipv4, sizeof(ipv4));
        result.length = sizeof(ipv4);
        return result;
    }
    sockaddr_in6 ipv6{};
    if (inet_pton(AF_INET6, address.c_str(), &ipv6.sin6_addr) == 1)
    {
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(port);
        std::memcpy(&result.storage, &ipv6, sizeof(ipv6));
        result.length = sizeof(ipv6);
        return result;
    }
    return std::nullopt;
}

const sockaddr* socket_address::data() const
{
    return reinterpret_cast<const sockaddr*>(&this->storage);
}

} // namespace jujubedrum
