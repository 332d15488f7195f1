#pragma once

#include "engine/peer_messages.hpp"

#include <functional>

namespace jujubedrum
{

/// Interface for sending requests to other entry instances.
class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Sends a request, from any thread, without blocking.
    /// \param done called exactly once with the reply or a `peer_failure`;
    /// must not block.
    virtual void call(peer_address to, peer_request request,
                      std::function<void(peer_reply)> done) = 0;
};

} // namespace jujubedrum
