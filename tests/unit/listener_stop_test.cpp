#include "listener_stop.hpp"

#include <cerrno>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

struct listener_fixture
{
    listener_fixture()
        : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        this->address.sin_family = AF_INET;
        this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* any = reinterpret_cast<sockaddr*>(&this->address);
        socklen_t size = sizeof(this->address);
        BOOST_REQUIRE(::bind(this->listener, any, size) == 0);
        BOOST_REQUIRE(::listen(this->listener, 16) == 0);
        BOOST_REQUIRE(::getsockname(this->listener, any, &size) == 0);
    }
    ~listener_fixture() { ::close(this->listener); }

    /// Starts a non-blocking connect. The system completes the handshake
    /// without an accept.
    int start_connect()
    {
        const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const int result =
            ::connect(caller, reinterpret_cast<sockaddr*>(&this->address),
                      sizeof(this->address));
        BOOST_REQUIRE((result == 0 || errno == EINPROGRESS));
        return caller;
    }

    static bool connected(int caller)
    {
        constexpr int wait_ms = 100;
        pollfd made{caller, POLLOUT, 0};
        return ::poll(&made, 1, wait_ms) == 1 && (made.revents & POLLERR) == 0;
    }

    int listener;
    sockaddr_in address{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(listener_stop_suite, listener_fixture)

// Guards against a stop that resets connections established just before it.
BOOST_AUTO_TEST_CASE(refuse_new_connections_established_before_are_kept)
{
    const int before = this->start_connect();
    BOOST_REQUIRE(connected(before));
    BOOST_REQUIRE(listener_stop::refuse_new_connections(this->listener));
    const int after = this->start_connect();
    BOOST_TEST(!connected(after));
    BOOST_TEST(!listener_stop::wait_until_queue_empty(this->listener,
                                                      milliseconds(100)));
    const int accepted = ::accept(this->listener, nullptr, nullptr);
    BOOST_REQUIRE(accepted >= 0);
    BOOST_TEST(::send(accepted, "x", 1, 0) == 1);
    char byte = 0;
    pollfd reply{before, POLLIN, 0};
    BOOST_REQUIRE(::poll(&reply, 1, -1) == 1);
    BOOST_TEST(::recv(before, &byte, 1, 0) == 1);
    BOOST_TEST(
        listener_stop::wait_until_queue_empty(this->listener, seconds(10)));
    for (const int end : {before, after, accepted})
    {
        ::close(end);
    }
}

BOOST_AUTO_TEST_CASE(refuse_new_connections_not_a_socket_fails)
{
    BOOST_TEST(!listener_stop::refuse_new_connections(-1));
    BOOST_TEST(errno == EBADF);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
