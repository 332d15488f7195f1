#pragma once

#include "engine_host.hpp"
#include "peer_handler.hpp"
#include "peer_network.hpp"
#include "peer_transport.hpp"

#include <functional>

namespace jujubedrum
{

/// Connects the peer network with the engine: passes requests of peers to the
/// engine as events, and sends the engine's calls over the network.
class peer_gateway : public peer_handler, public peer_transport
{
public:
    /// \param host must outlive the gateway.
    explicit peer_gateway(engine_host& host);

    /// Sets the network for outgoing calls. Must be called before the host is
    /// started; the network must outlive the gateway.
    void connect(peer_network& network) { this->network = &network; }

    void on_request(peer_request request,
                    std::function<void(peer_reply)> reply) override;
    void call(peer_address to, peer_request request,
              std::function<void(peer_reply)> done) override;

private:
    engine_host& host;
    peer_network* network = nullptr;
};

} // namespace jujubedrum
