#pragma once

#include "base/reason.hpp"
#include "engine/peer_messages.hpp"
#include "peer_counters.hpp"
#include "peer_handler.hpp"
#include "peer_options.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace jujubedrum
{

using peer_reason = basic_reason<peer_error>;

class peer_loop;

/// RPC between entry instances. One thread runs the server and the client
/// connections to all peers.
class peer_network
{
public:
    /// Starts the RPC thread and listens for peers.
    /// \param handler must outlive the returned object.
    /// \param why set to `cannot_listen` if nothing is returned.
    [[nodiscard]] static std::optional<peer_network>
    create(const peer_options& options, peer_handler& handler,
           peer_reason& why);

    peer_network(peer_network&&) noexcept;
    peer_network& operator=(peer_network&&) noexcept;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    /// Stops; open calls fail with `unreachable`.
    ~peer_network();

    /// Sends a request to a peer, from any thread, without blocking.
    /// \param done is called exactly once with the reply or a `peer_failure`,
    /// on the RPC thread, or on the calling thread if the queue is full
    /// (`overloaded`, `not_sent`) or the network has stopped (`unreachable`,
    /// `not_sent`). It must not block.
    void call(peer_address to, peer_request request,
              std::function<void(peer_reply)> done);

    /// Returns the port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// Returns the traffic since the start of the network.
    [[nodiscard]] peer_counters counters() const;

    /// Stops the RPC thread. Later calls fail with `unreachable`.
    void stop();

private:
    explicit peer_network(std::unique_ptr<peer_loop> loop);

    std::unique_ptr<peer_loop> loop;
};

} // namespace jujubedrum
