#pragma once

#include "engine/actions.hpp"
#include "engine/peer_messages.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace jujubedrum
{

/// Reply of the engine to the request with a token.
using engine_reply = std::variant<api_reply, id_block, peer_reply>;

/// Maps request tokens to the callbacks that receive the replies. Each callback
/// is called at most once, on the thread that delivers the reply. Thread-safe.
class reply_registry
{
public:
    using deliver_function = std::function<void(engine_reply)>;

    /// Registers a callback and returns its token.
    request_token add(deliver_function deliver);
    /// Calls and removes the callback of a token; does nothing if the token is
    /// unknown.
    void deliver(request_token token, engine_reply reply);
    /// Removes a token whose requester no longer waits.
    void remove(request_token token);
    /// Returns the number of requests that await a reply.
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex;
    request_token last_token = 0;
    std::unordered_map<request_token, deliver_function> pending;
};

} // namespace jujubedrum
