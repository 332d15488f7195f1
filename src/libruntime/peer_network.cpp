#include "peer_network.hpp"

#include "peer_loop.hpp"

#include <string>
#include <utility>

namespace jujubedrum
{

std::optional<peer_network> peer_network::create(const peer_options& options,
                                                 peer_handler& handler,
                                                 peer_reason& why)
{
    auto loop = std::make_unique<peer_loop>(options, handler);
    const std::string error = loop->start();
    if (!error.empty())
    {
        why = {peer_error::cannot_listen,
               options.address + ":" + std::to_string(options.rpc_port), error};
        return std::nullopt;
    }
    return peer_network(std::move(loop));
}

peer_network::peer_network(std::unique_ptr<peer_loop> loop)
    : loop(std::move(loop))
{
}

peer_network::peer_network(peer_network&&) noexcept = default;
peer_network& peer_network::operator=(peer_network&&) noexcept = default;
peer_network::~peer_network() = default;

void peer_network::call(peer_address to, peer_request request,
                        std::function<void(peer_reply)> done)
{
    posted_call call{std::move(to), std::move(request), std::move(done)};
    const peer_error error = this->loop->mailbox().post(call);
    if (error != peer_error::none)
    {
        call.done(peer_failure{error, peer_delivery::not_sent,
                               error == peer_error::overloaded
                                   ? "too many calls are waiting"
                                   : "the peer RPC has stopped"});
    }
}

std::uint16_t peer_network::port() const
{
    return this->loop->port();
}

peer_counters peer_network::counters() const
{
    return this->loop->meter().read();
}

void peer_network::stop()
{
    this->loop->stop();
}

} // namespace jujubedrum
