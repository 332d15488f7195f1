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
    sockaddr_in four{};
    if (inet_pton(AF_INET, address.c_str(), &four.sin_addr) == 1)
    {
        four.sin_family = AF_INET;
        four.sin_port = htons(port);
        std::memcpy(&result.storage, &four, sizeof(four));
        result.length = sizeof(four);
        return result;
    }
    sockaddr_in6 six{};
    if (inet_pton(AF_INET6, address.c_str(), &six.sin6_addr) == 1)
    {
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(port);
        std::memcpy(&result.storage, &six, sizeof(six));
        result.length = sizeof(six);
        return result;
    }
    return std::nullopt;
}

const sockaddr* socket_address::data() const
{
    return reinterpret_cast<const sockaddr*>(&this->storage);
}

} // namespace jujubedrum
