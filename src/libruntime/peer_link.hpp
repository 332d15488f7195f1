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

/// The way to one peer: at most one connection, made on demand and made again
/// with a back-off.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// What the links of a process share; outlives them.
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

    /// Connects if need be; fulfilled once there is a connection. Breaks if the
    /// peer cannot be reached or a recent attempt failed.
    [[nodiscard]] kj::Promise<void> connected();

    /// Returns the peer. Requires a connection.
    [[nodiscard]] wire::Peer::Client peer();

    /// Takes in that a call was answered.
    void on_reply() { this->consecutive_timeouts = 0; }

    /// Takes in that a call timed out. The connection is closed after three
    /// in a row: the host may have vanished without closing it.
    void on_timeout();

    /// Closes the connection; calls on it break.
    void close();

    /// Returns whether there is neither a connection nor an attempt.
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
