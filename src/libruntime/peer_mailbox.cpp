#include "peer_mailbox.hpp"

#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace jujubedrum
{

peer_mailbox::peer_mailbox(std::size_t capacity)
    : capacity(capacity)
    , event_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

peer_mailbox::~peer_mailbox()
{
    if (this->event_descriptor >= 0)
    {
        ::close(this->event_descriptor);
    }
}

peer_error peer_mailbox::post(posted_call& call)
{
    const std::lock_guard lock(this->mutex);
    if (this->pending.closed)
    {
        return peer_error::unreachable;
    }
    if (this->pending.calls.size() >= this->capacity)
    {
        return peer_error::overloaded;
    }
    this->pending.calls.push_back(std::move(call));
    this->wake();
    return peer_error::none;
}

void peer_mailbox::post(posted_reply reply)
{
    const std::lock_guard lock(this->mutex);
    if (this->pending.closed)
    {
        return;
    }
    this->pending.replies.push_back(std::move(reply));
    this->wake();
}

void peer_mailbox::close()
{
    const std::lock_guard lock(this->mutex);
    this->pending.closed = true;
    this->wake();
}

peer_mailbox::batch peer_mailbox::take()
{
    const std::lock_guard lock(this->mutex);
    batch taken = std::exchange(this->pending, {});
    this->pending.closed = taken.closed;
    return taken;
}

int peer_mailbox::wake_descriptor() const
{
    return this->event_descriptor;
}

void peer_mailbox::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum; the descriptor is
    // readable then.
    [[maybe_unused]] const auto written =
        ::write(this->event_descriptor, &one, sizeof(one));
}

} // namespace jujubedrum
