#pragma once

#include "engine/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace jujubedrum
{

/// A call on its way to the RPC thread.
struct posted_call
{
    peer_address to;
    peer_request request;
    std::function<void(peer_reply)> done;
};

/// The reply to a peer's request on its way to the RPC thread.
struct posted_reply
{
    std::uint64_t request = 0;
    peer_reply reply;
};

/// Bounded queue from all threads to the RPC thread. An eventfd wakes the event
/// loop, which cannot wait on a condition variable.
class peer_mailbox
{
public:
    /// Everything posted since the last time.
    struct batch
    {
        std::vector<posted_call> calls;
        std::vector<posted_reply> replies;
        bool closed = false;
    };

    /// \param capacity most calls that wait. Replies are bounded by the number
    /// of requests that the service takes in.
    explicit peer_mailbox(std::size_t capacity);
    peer_mailbox(const peer_mailbox&) = delete;
    peer_mailbox& operator=(const peer_mailbox&) = delete;
    ~peer_mailbox();

    /// Takes the call, or leaves it alone and returns why not: `overloaded` if
    /// the queue is full, `unreachable` if it is closed.
    peer_error post(posted_call& call);

    /// Takes the reply; drops it if the mailbox is closed.
    void post(posted_reply reply);

    /// Refuses further calls and wakes the RPC thread.
    void close();

    /// Removes everything that waits.
    [[nodiscard]] batch take();

    /// Returns the descriptor that becomes readable after a post.
    [[nodiscard]] int wake_descriptor() const;

private:
    void wake();

    std::mutex mutex;
    batch pending;
    std::size_t capacity;
    int event_descriptor;
};

} // namespace jujubedrum
