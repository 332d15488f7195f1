#include "logging.hpp"
#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

std::vector<std::string> fuzz_seeds()
{
    return {"GET /v1/ready HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            "POST /p/0000000000000001 HTTP/1.1\r\nHost: h\r\nDeadline: 500\r\n"
            "Content-Length: 3\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5;x=y\r\nabcde\r\n0\r\nX-T: t\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n" +
                std::string(300, 'b'),
            "GET / HTTP/1.0\r\nConnection: close\r\nX-A: " +
                std::string(300, 'a') + "\r\n\r\n"};
}

/// Sends the input to an `http_server` over a connection. No request that
/// exceeds a limit may be served, and no memory may stay accounted once the
/// connection is closed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace jujubedrum;
    using boost::asio::ip::tcp;
    static const bool quiet = (configure_logging("error"), true);
    (void)quiet;
    constexpr std::size_t header_bytes = 256;
    constexpr std::size_t body_bytes = 256;
    constexpr milliseconds wait_timeout{20000};
    event_loop loop;
    bool within_limits = true;
    http_server server(loop, "Deadline",
                       [&](const http_request& request, const auto& responder)
                       {
                           within_limits = within_limits &&
                                           request.body.size() <= body_bytes &&
                                           request.target.size() +
                                                   request.deadline.size() <=
                                               2 * header_bytes;
                           responder->answer({200, request.method});
                       });
    request_limits limits;
    limits.header_bytes = header_bytes;
    limits.body_bytes = body_bytes;
    server.set_limits(limits);
    caller_limits machine;
    machine.memory_bytes = 1U << 20U;
    machine.connections = 2;
    server.set_caller_limits("fuzz", machine, true);
    if (!server.listen("127.0.0.1", 0))
    {
        return 0;
    }
    tcp::socket caller(loop.context());
    boost::system::error_code error;
    caller.connect({boost::asio::ip::address_v4::loopback(), server.port()},
                   error);
    // The input fits in the buffers of the kernel, so this does not block.
    constexpr std::size_t max_input = 8192;
    caller.send(boost::asio::buffer(data, std::min(size, max_input)), 0, error);
    // Everything is read and answered before the connection is reset. A reset
    // leaves no port in use, unlike a regular end.
    bool accepted = false;
    constexpr int max_handlers = 64;
    for (int i = 0; i < max_handlers; ++i)
    {
        loop.context().poll_one();
        accepted = accepted || server.connections() > 0;
    }
    caller.set_option(tcp::socket::linger(true, 0), error);
    caller.close(error);
    const bool ended = loop.run_until(
        [&]
        {
            accepted = accepted || server.connections() > 0;
            return accepted && server.connections() == 0;
        },
        wait_timeout);
    if (!ended || !within_limits || server.held_bytes() != 0)
    {
        __builtin_trap();
    }
    return 0;
}
