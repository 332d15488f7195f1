#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Sends small messages at once and lets a silent peer end the connection:
/// a partition resets nothing, so only these limits show it.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace jujubedrum
