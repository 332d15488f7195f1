#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Disables Nagle's algorithm and closes the connection when the peer stops
/// acknowledging. A network partition resets no connections, so only these
/// time-outs detect it.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has closed or reset the connection, with no unread
/// bytes before the end.
[[nodiscard]] bool closed_by_peer(boost::asio::ip::tcp::socket& socket);

/// Listens on a numeric address. Returns false and logs the reason if that
/// fails.
/// \param backlog maximum number of connections that wait to be accepted.
[[nodiscard]] bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                 const std::string& address, std::uint16_t port,
                                 int backlog);

} // namespace jujubedrum
