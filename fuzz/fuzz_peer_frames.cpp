#include "node/peer_mesh.hpp"
#include "node/peer_message.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace
{

using namespace jujubedrum;

/// Accepts whatever the mesh reports.
class ignoring_listener : public mesh_listener
{
public:
    void on_heartbeat(std::uint64_t, const heartbeat_message&) override {}
    void on_message(std::uint64_t, const dispatch_message&) override {}
    void on_link_closed(std::uint64_t, const std::string&,
                        const std::string&) override
    {
    }
    void on_peer_failed(const std::string&) override {}
    [[nodiscard]] std::set<std::uint64_t> links_with_open_jobs() const override
    {
        return {};
    }
    [[nodiscard]] std::set<std::uint64_t> links_to_holders() const override
    {
        return {};
    }
};

} // namespace

std::vector<std::string> fuzz_seeds()
{
    heartbeat_message heartbeat;
    heartbeat.instance = {"e1", 7, "d1", 250, false, {{{"d1", 3}, 4096, true}}};
    submit_message submitted;
    submitted.request.steps.resize(2);
    submitted.request.payload = "p";
    const std::string first = encode_frame(heartbeat);
    return {first, first + encode_frame(submitted),
            first + encode_frame(alive_message{}) +
                encode_frame(confirm_message{}),
            encode_frame(submitted) + first,
            first + std::string("\x00\x00\x40\x00", 4) + std::string(99, 'x')};
}

/// Sends the input to a `peer_mesh` over a connection. No bytes may stay
/// accounted once the link is closed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using boost::asio::ip::tcp;
    constexpr milliseconds wait_timeout{20000};
    event_loop loop;
    ignoring_listener listener;
    peer_mesh mesh(loop, {"tested", "127.0.0.1", 1, 1, "d1"}, listener);
    std::uint16_t port = 0;
    {
        const tcp::acceptor probe(loop.context(),
                                  {boost::asio::ip::address_v4::loopback(), 0});
        port = probe.local_endpoint().port();
    }
    if (!mesh.listen("127.0.0.1", port))
    {
        return 0;
    }
    tcp::socket peer(loop.context());
    boost::system::error_code error;
    peer.connect({boost::asio::ip::address_v4::loopback(), port}, error);
    // The input fits in the buffers of the kernel, so this does not block.
    constexpr std::size_t max_input = 8192;
    peer.send(boost::asio::buffer(data, std::min(size, max_input)), 0, error);
    // Everything is read and answered before the connection is reset. A reset
    // leaves no port in use, unlike a regular end.
    bool accepted = false;
    constexpr int max_handlers = 64;
    for (int i = 0; i < max_handlers; ++i)
    {
        loop.context().poll_one();
        accepted = accepted || mesh.link_count() > 0;
    }
    peer.set_option(tcp::socket::linger(true, 0), error);
    peer.close(error);
    const bool ended = loop.run_until(
        [&]
        {
            accepted = accepted || mesh.link_count() > 0;
            return accepted && mesh.link_count() == 0;
        },
        wait_timeout);
    if (!ended || mesh.held_bytes() != 0)
    {
        __builtin_trap();
    }
    return 0;
}
