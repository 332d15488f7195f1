#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jujubedrum
{

inline constexpr std::size_t peer_call_count = 7;

/// Names of the calls in metrics, in the order of the alternatives of
/// `peer_request`.
inline constexpr std::array<std::string_view, peer_call_count> peer_call_names =
    {"heartbeat", "borrow", "give_back",     "submit",
     "collect",   "cancel", "config_records"};

/// Traffic of one kind of call. Bytes are those of the message contents,
/// without the headers of RPC and TCP.
struct call_traffic
{
    /// Calls sent to peers.
    std::uint64_t calls_out = 0;
    /// Calls to peers that failed.
    std::uint64_t failures = 0;
    /// Calls received from peers.
    std::uint64_t calls_in = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;

    bool operator==(const call_traffic&) const = default;
};

/// Traffic with all peers since the start of the process.
struct peer_counters
{
    std::array<call_traffic, peer_call_count> calls;
    /// Bytes on the sockets, including the headers of RPC.
    std::uint64_t socket_bytes_sent = 0;
    std::uint64_t socket_bytes_received = 0;
    std::uint64_t connections_opened = 0;

    bool operator==(const peer_counters&) const = default;
};

} // namespace jujubedrum
