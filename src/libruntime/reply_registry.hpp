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

/// What the engine answers to a request token.
using engine_reply = std::variant<api_reply, id_block, peer_reply>;

/// Maps request tokens to the functions that deliver their replies.
/// Thread-safe. Each function is called at most once.
class reply_registry
{
public:
    using deliver_function = std::function<void(engine_reply)>;

    /// Registers a function and returns its token.
    request_token add(deliver_function deliver);
    /// Delivers a reply; does nothing for a token that was removed.
    void deliver(request_token token, engine_reply reply);
    /// Forgets a token whose requester no longer waits.
    void remove(request_token token);
    /// Returns the number of requests that wait.
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex;
    request_token last_token = 0;
    std::unordered_map<request_token, deliver_function> pending;
};

} // namespace jujubedrum
