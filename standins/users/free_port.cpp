#include "users/free_port.hpp"

#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

namespace jujubedrum
{

std::uint16_t free_port(event_loop& loop, const std::string& address)
{
    using boost::asio::ip::tcp;
    static std::set<std::pair<std::string, std::uint16_t>> returned_ports;
    for (;;)
    {
        tcp::acceptor probe(loop.context(),
                            {boost::asio::ip::make_address(address), 0});
        const std::uint16_t port = probe.local_endpoint().port();
        if (returned_ports.emplace(address, port).second)
        {
            return port;
        }
    }
}

std::string unique_loopback_address()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + ((id >> 16U) & 0x7fU)) + "." +
           std::to_string((id >> 8U) & 0xffU) + "." +
           std::to_string(id & 0xffU);
}

} // namespace jujubedrum
