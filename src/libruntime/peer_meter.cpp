#include "peer_meter.hpp"

namespace jujubedrum
{

namespace
{

void increment(std::atomic<std::uint64_t>& counter, std::uint64_t by)
{
    counter.fetch_add(by, std::memory_order_relaxed);
}

} // namespace

void peer_meter::add_call_out(std::size_t call, std::uint64_t bytes)
{
    increment(this->per_call[call].calls_out, 1);
    increment(this->per_call[call].bytes_sent, bytes);
}

void peer_meter::add_call_in(std::size_t call, std::uint64_t bytes)
{
    increment(this->per_call[call].calls_in, 1);
    increment(this->per_call[call].bytes_received, bytes);
}

void peer_meter::add_reply_sent(std::size_t call, std::uint64_t bytes)
{
    increment(this->per_call[call].bytes_sent, bytes);
}

void peer_meter::add_reply_received(std::size_t call, std::uint64_t bytes)
{
    increment(this->per_call[call].bytes_received, bytes);
}

void peer_meter::add_failure(std::size_t call)
{
    increment(this->per_call[call].failures, 1);
}

void peer_meter::add_socket_sent(std::uint64_t bytes)
{
    increment(this->socket_sent, bytes);
}

void peer_meter::add_socket_received(std::uint64_t bytes)
{
    increment(this->socket_received, bytes);
}

void peer_meter::add_connection()
{
    increment(this->connections, 1);
}

peer_counters peer_meter::read() const
{
    peer_counters counters;
    for (std::size_t i = 0; i < this->per_call.size(); ++i)
    {
        const call_counters& from = this->per_call[i];
        counters.calls[i] = {from.calls_out, from.failures, from.calls_in,
                             from.bytes_sent, from.bytes_received};
    }
    counters.socket_bytes_sent = this->socket_sent;
    counters.socket_bytes_received = this->socket_received;
    counters.connections_opened = this->connections;
    return counters;
}

} // namespace jujubedrum
