#pragma once

#include "peer_link.hpp"
#include "peer_mailbox.hpp"
#include "peer_meter.hpp"
#include "peer_options.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <kj/async-io.h>

namespace jujubedrum
{

/// Client side of the peer RPC: sends calls to peers and tracks those without a
/// reply. Used on the RPC thread only.
class peer_caller
{
public:
    explicit peer_caller(const peer_link::context& shared);
    peer_caller(const peer_caller&) = delete;
    peer_caller& operator=(const peer_caller&) = delete;
    /// Fails the open calls with `unreachable`.
    ~peer_caller();

    /// Sends the request. `call.done` is called exactly once, with the reply or
    /// a `peer_failure`.
    void start(posted_call call);

private:
    struct open_call
    {
        std::function<void(peer_reply)> done;
        std::size_t kind = 0;
        bool sent = false;
    };

    std::shared_ptr<peer_link> link_to(const peer_address& to);
    void remove_idle_links();
    void finish(std::uint64_t id, peer_reply reply);
    [[nodiscard]] microseconds
    reply_timeout_of(const peer_request& request) const;
    [[nodiscard]] peer_delivery delivery(std::uint64_t id) const;

    peer_link::context shared;
    std::uint64_t next_call = 0;
    std::map<std::uint64_t, open_call> open_calls;
    std::map<std::string, std::shared_ptr<peer_link>> links;
};

} // namespace jujubedrum
