#pragma once

#include "engine/peer_messages.hpp"

#include <functional>

namespace jujubedrum
{

/// Interface for handling the requests of peers.
class peer_handler
{
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    /// Called on the RPC thread; must not block.
    /// \param reply sends the reply; may be called once, at any time and from
    /// any thread. If all copies are destroyed without a call, the peer
    /// receives an error.
    virtual void on_request(peer_request request,
                            std::function<void(peer_reply)> reply) = 0;
};

} // namespace jujubedrum
