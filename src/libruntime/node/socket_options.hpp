#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Disables Nagle's algorithm and closes the connection when the peer stops
/// acknowledging. A network partition resets no connections, so only these
/// time-outs detect it.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Sets the time that sent bytes may stay unacknowledged or find no space at
/// the peer. `set_socket_options` sets 900 ms, after which the kernel also ends
/// connections to peers that only read slowly.
void set_send_timeout(boost::asio::ip::tcp::socket& socket,
                      milliseconds timeout);

/// Returns whether the peer has closed or reset the connection, with no unread
/// bytes before the end.
[[nodiscard]] bool closed_by_peer(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has closed or reset the connection, also if unread
/// bytes came before the end.
[[nodiscard]] bool disconnected(boost::asio::ip::tcp::socket& socket);

/// Listens on a numeric address. Returns false and logs the reason if that
/// fails.
/// \param backlog maximum number of connections that wait to be accepted.
[[nodiscard]] bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                 const std::string& address, std::uint16_t port,
                                 int backlog);

} // namespace jujubedrum
