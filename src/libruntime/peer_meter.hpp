#pragma once

#include "peer_counters.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace jujubedrum
{

/// Counts the traffic of the peer RPC. Updated on the RPC thread; `read()` may
/// be called on any thread.
class peer_meter
{
public:
    /// \param call index of the alternative of `peer_request`, here and below.
    void add_call_out(std::size_t call, std::uint64_t bytes);
    void add_call_in(std::size_t call, std::uint64_t bytes);
    void add_reply_sent(std::size_t call, std::uint64_t bytes);
    void add_reply_received(std::size_t call, std::uint64_t bytes);
    void add_failure(std::size_t call);
    void add_socket_sent(std::uint64_t bytes);
    void add_socket_received(std::uint64_t bytes);
    void add_connection();

    /// Returns the current counts.
    [[nodiscard]] peer_counters read() const;

private:
    using counter = std::atomic<std::uint64_t>;

    struct call_counters
    {
        counter calls_out = 0;
        counter failures = 0;
        counter calls_in = 0;
        counter bytes_sent = 0;
        counter bytes_received = 0;
    };

    std::array<call_counters, peer_call_count> per_call;
    counter socket_sent = 0;
    counter socket_received = 0;
    counter connections = 0;
};

} // namespace jujubedrum
