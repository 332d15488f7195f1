#pragma once

#include "peer_mailbox.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace jujubedrum
{

/// Carries the reply to one request back to the RPC thread. Answers with an
/// error when it is destroyed without a reply.
class pending_reply
{
public:
    pending_reply(std::shared_ptr<peer_mailbox> mailbox, std::uint64_t request);
    pending_reply(const pending_reply&) = delete;
    pending_reply& operator=(const pending_reply&) = delete;
    ~pending_reply();

    /// Sends the reply; only the first call has an effect.
    void send(peer_reply reply);

private:
    std::shared_ptr<peer_mailbox> mailbox;
    std::uint64_t request;
    std::atomic<bool> answered = false;
};

} // namespace jujubedrum
