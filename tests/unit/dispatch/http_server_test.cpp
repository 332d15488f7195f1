#include "node/http_server.hpp"

#include <cerrno>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};

/// A server that answers with the method and the body, and callers that send
/// raw bytes.
struct http_server_fixture
{
    http_server_fixture()
    {
        BOOST_REQUIRE(this->server.listen("127.0.0.1", 0));
        request_limits limits;
        limits.header_bytes = 1024;
        limits.body_bytes = 4096;
        this->server.set_limits(limits);
    }
    ~http_server_fixture()
    {
        for (const int each : this->callers)
        {
            ::close(each);
        }
    }

    int dial()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE(::connect(caller, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)) == 0);
        this->callers.push_back(caller);
        return caller;
    }

    void send(int caller, const std::string& text)
    {
        BOOST_REQUIRE(::send(caller, text.data(), text.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(text.size()));
    }

    /// Reads until the text contains `part` or the server closes the
    /// connection, and returns the text.
    std::string read(int caller, const std::string& part)
    {
        std::string text;
        this->closed = false;
        const bool ended = this->loop.run_until(
            [&]
            {
                char chunk[512];
                const ssize_t size =
                    ::recv(caller, chunk, sizeof(chunk), MSG_DONTWAIT);
                if (size > 0)
                {
                    text.append(chunk, static_cast<std::size_t>(size));
                }
                this->closed = size == 0 || (size < 0 && errno == ECONNRESET);
                return this->closed ||
                       (!part.empty() && text.find(part) != std::string::npos);
            },
            wait_timeout);
        BOOST_REQUIRE(ended);
        return text;
    }

    /// Sends a request that must be refused, with the connection closed.
    void check_refused(const std::string& request, const std::string& status)
    {
        const int caller = this->dial();
        this->send(caller, request);
        const std::string answer = this->read(caller, "");
        BOOST_TEST(answer.rfind("HTTP/1.1 " + status, 0) == 0U,
                   "for " << request.substr(0, 60) << ": " << answer);
        BOOST_TEST(this->closed);
        BOOST_TEST(this->served == 0);
    }

    event_loop loop;
    int served = 0;
    bool closed = false;
    http_server server{
        loop, "X-Limit",
        [this](const http_request& request, const auto& responder)
        {
            ++this->served;
            responder->answer({200, request.method + " " + request.body});
        }};
    std::vector<int> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_suite, http_server_fixture)

// Guards against starting a job whose caller has left, and may have sent it
// again to another instance, before its request was read.
BOOST_AUTO_TEST_CASE(request_caller_left_before_it_was_read_not_served)
{
    const int caller = this->dial();
    this->send(caller, "POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 3\r\n\r\nabc");
    BOOST_REQUIRE(::shutdown(caller, SHUT_WR) == 0);
    this->read(caller, "");
    BOOST_TEST(this->closed);
    BOOST_TEST(this->served == 0);
}

BOOST_AUTO_TEST_CASE(request_in_pieces_is_answered_once)
{
    const int caller = this->dial();
    this->send(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-");
    this->loop.run_until([] { return false; }, milliseconds(30));
    this->send(caller, "Length: 3\r\n\r\nab");
    this->loop.run_until([] { return false; }, milliseconds(30));
    this->send(caller, "c");
    BOOST_TEST(this->read(caller, "POST abc").find("200 OK") !=
               std::string::npos);
    BOOST_TEST(this->served == 1);
}

// Guards against request smuggling through two lengths that disagree.
BOOST_AUTO_TEST_CASE(length_doubled_refused_and_closed)
{
    this->check_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                        "400");
    this->check_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                        "Content-Length: 4\r\n\r\nabcd",
                        "400");
}

BOOST_AUTO_TEST_CASE(length_negative_or_no_number_refused_and_closed)
{
    this->check_refused(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nabcde",
        "400");
    this->check_refused(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400");
}

// The declared length is enough to refuse; the body is not waited for.
BOOST_AUTO_TEST_CASE(length_over_limit_refused_without_the_body)
{
    this->check_refused(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1073741824\r\n\r\n",
        "413");
}

BOOST_AUTO_TEST_CASE(header_over_limit_refused_and_closed)
{
    this->check_refused("GET /a HTTP/1.1\r\nHost: h\r\nX-A: " +
                            std::string(2000, 'a') + "\r\n\r\n",
                        "431");
}

BOOST_AUTO_TEST_CASE(junk_refused_and_closed)
{
    this->check_refused("\x16\x03\x01\x02\r\n\r\n", "400");
}

// Idle connections and incomplete requests must not delay others.
BOOST_AUTO_TEST_CASE(many_slow_callers_others_are_served)
{
    for (int i = 0; i < 200; ++i)
    {
        this->send(this->dial(), i % 2 == 0 ? "" : "POST /slow HTTP/1.1\r\n");
    }
    const int caller = this->dial();
    this->send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(this->read(caller, "GET ").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
