#include "endpoint.hpp"

#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jujubedrum
{

std::optional<endpoint> endpoint::parse(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    endpoint parsed;
    parsed.address = text.substr(0, colon);
    const bool bracketed = parsed.address.size() > 2 &&
                           parsed.address.front() == '[' &&
                           parsed.address.back() == ']';
    if (bracketed)
    {
        parsed.address = parsed.address.substr(1, parsed.address.size() - 2);
    }
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const char* end = text.data() + text.size();
    const auto [at, error] =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (error != std::errc() || at != end || parsed.port == 0 ||
        inet_pton(bracketed ? AF_INET6 : AF_INET, parsed.address.c_str(),
                  bytes.data()) != 1)
    {
        return std::nullopt;
    }
    return parsed;
}

} // namespace jujubedrum
