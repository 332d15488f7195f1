#pragma once

#include "peer_mailbox.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace jujubedrum
{

/// Passes the reply to one request to the RPC thread. If destroyed without a
/// reply, replies with an error. Thread-safe.
class pending_reply
{
public:
    pending_reply(std::shared_ptr<peer_mailbox> mailbox, std::uint64_t request);
    pending_reply(const pending_reply&) = delete;
    pending_reply& operator=(const pending_reply&) = delete;
    ~pending_reply();

    /// Queues the reply; only the first call has an effect.
    void send(peer_reply reply);

private:
    std::shared_ptr<peer_mailbox> mailbox;
    std::uint64_t request;
    std::atomic<bool> answered = false;
};

} // namespace jujubedrum
