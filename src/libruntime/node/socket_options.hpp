#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Sends small messages at once and lets a silent peer end the connection:
/// a partition resets nothing, so only these limits show it.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Listens on an address. Returns false and logs the reason if that fails.
/// \param backlog connections that wait to be accepted.
[[nodiscard]] bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                 const std::string& address, std::uint16_t port,
                                 int backlog);

} // namespace jujubedrum
