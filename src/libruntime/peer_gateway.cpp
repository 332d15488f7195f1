#include "peer_gateway.hpp"

#include <utility>

namespace jujubedrum
{

namespace
{

peer_reply to_peer_reply(engine_reply reply)
{
    if (const auto* answer = std::get_if<api_reply>(&reply))
    {
        return job_reply{answer->body()};
    }
    if (auto* answer = std::get_if<peer_reply>(&reply))
    {
        return std::move(*answer);
    }
    return peer_failure{peer_error::refused, peer_delivery::unknown,
                        "unexpected reply"};
}

} // namespace

peer_gateway::peer_gateway(engine_host& engine)
    : host(engine)
{
}

void peer_gateway::on_request(peer_request request,
                              std::function<void(peer_reply)> reply)
{
    const request_token token =
        this->host.replies().add([reply](engine_reply answer)
                                 { reply(to_peer_reply(std::move(answer))); });
    if (!this->host.try_post(peer_request_event{token, std::move(request)}))
    {
        this->host.replies().remove(token);
        reply(peer_failure{peer_error::overloaded, peer_delivery::not_sent,
                           "the event ring is full"});
    }
}

void peer_gateway::call(peer_address to, peer_request request,
                        std::function<void(peer_reply)> done)
{
    this->network->call(std::move(to), std::move(request), std::move(done));
}

} // namespace jujubedrum
