#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Settings of the peer RPC.
struct peer_options
{
    /// Numeric IP address to listen on.
    std::string address = "127.0.0.1";
    /// Port to listen on; 0 lets the system choose one.
    std::uint16_t rpc_port = 0;
    /// Maximum number of calls queued for the RPC thread.
    std::size_t ring_capacity = 4096;
    /// Maximum number of calls to all peers without a reply.
    std::size_t max_outgoing = 2048;
    /// Maximum number of unanswered requests of peers.
    std::size_t max_incoming = 2048;
    /// Maximum number of accepted connections open at the same time.
    std::size_t max_connections = 512;
    microseconds connect_timeout = seconds(1);
    /// Reply timeout of calls other than `submit` and `collect`.
    microseconds call_timeout = seconds(2);
    /// Added to the remaining time of `submit` and the wait of `collect` for
    /// their reply timeouts.
    microseconds reply_margin = seconds(1);
    /// Time between two attempts to connect. Doubles after each failure, up to
    /// the maximum.
    microseconds min_reconnect_backoff = milliseconds(50);
    microseconds max_reconnect_backoff = seconds(1);
    /// Maximum size of a message in either direction.
    std::size_t max_message_bytes = std::size_t{9} << 20U;
};

} // namespace jujubedrum
