#pragma once

#include "engine/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace jujubedrum
{

/// A call to a peer, queued for the RPC thread.
struct posted_call
{
    peer_address to;
    peer_request request;
    std::function<void(peer_reply)> done;
};

/// The reply to a peer's request, queued for the RPC thread.
struct posted_reply
{
    std::uint64_t request = 0;
    peer_reply reply;
};

/// Bounded queue from all threads to the RPC thread. Signals an eventfd,
/// because the event loop cannot wait on a condition variable. Thread-safe.
class peer_mailbox
{
public:
    /// Calls and replies posted since the last `take()`.
    struct batch
    {
        std::vector<posted_call> calls;
        std::vector<posted_reply> replies;
        bool closed = false;
    };

    /// \param capacity maximum number of queued calls. Replies need no bound
    /// here: the service bounds the requests that it accepts.
    explicit peer_mailbox(std::size_t capacity);
    peer_mailbox(const peer_mailbox&) = delete;
    peer_mailbox& operator=(const peer_mailbox&) = delete;
    ~peer_mailbox();

    /// Queues the call and returns `none`. Leaves the call unchanged and
    /// returns `overloaded` if the queue is full, `unreachable` if it is
    /// closed.
    peer_error post(posted_call& call);

    /// Queues the reply; drops it if the mailbox is closed.
    void post(posted_reply reply);

    /// Refuses calls and drops replies from now on, and wakes the RPC thread.
    void close();

    /// Removes and returns all queued calls and replies.
    [[nodiscard]] batch take();

    /// Returns the descriptor that becomes readable after a post or a close.
    [[nodiscard]] int wake_descriptor() const;

private:
    void wake();

    std::mutex mutex;
    batch pending;
    std::size_t capacity;
    int event_descriptor;
};

} // namespace jujubedrum
