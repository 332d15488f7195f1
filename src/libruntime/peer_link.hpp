#pragma once

#include "engine/peer_messages.hpp"
#include "peer_connection.hpp"
#include "peer_meter.hpp"
#include "peer_options.hpp"

#include <cstdint>
#include <memory>

#include <kj/async-io.h>
#include <kj/timer.h>

namespace jujubedrum
{

/// Client connection to one peer: established on demand, and re-established
/// with a backoff after a failed attempt.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// State shared by the links of a process; must outlive them.
    struct context
    {
        kj::Network& network;
        kj::Timer& timer;
        kj::TaskSet& tasks;
        const peer_options& options;
        peer_meter& meter;
    };

    peer_link(const context& shared, peer_address to);

    [[nodiscard]] const peer_address& address() const { return this->to; }

    /// Connects if there is no connection. The promise is fulfilled once there
    /// is one; it is rejected if the peer cannot be reached, or at once during
    /// the backoff after a failed attempt.
    [[nodiscard]] kj::Promise<void> connected();

    /// Returns the interface of the peer. Throws a kj::Exception if there is no
    /// connection.
    [[nodiscard]] wire::Peer::Client peer();

    /// Called when a call received its reply.
    void on_reply() { this->consecutive_timeouts = 0; }

    /// Called when a call timed out. Closes the connection after three
    /// consecutive timeouts: the host may have failed without closing it.
    void on_timeout();

    /// Closes the connection; open calls on it fail.
    void close();

    /// Returns whether there is neither a connection nor an attempt to connect.
    [[nodiscard]] bool idle() const { return this->current == phase::idle; }

private:
    enum class phase
    {
        idle,
        connecting,
        open
    };

    kj::Promise<void> connect();
    void open(kj::Own<kj::AsyncIoStream> stream);
    void on_connect_failed();

    context shared;
    peer_address to;
    phase current = phase::idle;
    kj::Maybe<kj::ForkedPromise<void>> connect_attempt;
    kj::Own<peer_connection> connection;
    kj::Maybe<wire::Peer::Client> remote;
    std::uint64_t connection_serial = 0;
    std::uint32_t consecutive_timeouts = 0;
    microseconds reconnect_backoff;
    kj::TimePoint retry_at;
};

} // namespace jujubedrum
