#include "users/free_port.hpp"

#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

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

} // namespace jujubedrum
