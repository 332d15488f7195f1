#include "node/socket_options.hpp"

#include "logging.hpp"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace jujubedrum
{

namespace
{

/// Maximum time that sent bytes may stay unacknowledged. Shorter than the lease
/// of running tasks (1 s), so that a broken path is detected before their lease
/// expires.
constexpr int user_timeout_ms = 900;
/// Idle time before the first keep-alive probe, and interval between probes.
constexpr int keep_alive_s = 5;
constexpr int keep_alive_probes = 2;

void set_option(int socket, int level, int name, int value)
{
    // If the kernel does not support an option, the time-outs of the protocols
    // above still apply.
    (void)setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void set_socket_options(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

void set_send_timeout(boost::asio::ip::tcp::socket& socket,
                      milliseconds timeout)
{
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(timeout.count()));
}

bool closed_by_peer(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, sizeof(byte),
                                MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                         errno != EINTR);
}

bool disconnected(boost::asio::ip::tcp::socket& socket)
{
    pollfd polled{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 &&
           (polled.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const std::string& address, std::uint16_t port, int backlog)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(address, error), port);
    if (!error)
    {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            error);
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(backlog, error);
    }
    if (error)
    {
        LOG(ERROR) << "socket: cannot listen; address=" << address
                   << " port=" << port << " reason=\"" << error.message()
                   << "\"";
    }
    return !error;
}

} // namespace jujubedrum
