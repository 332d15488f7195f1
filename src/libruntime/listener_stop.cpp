#include "listener_stop.hpp"

#include <array>
#include <chrono>
#include <thread>

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

namespace jujubedrum
{

namespace
{

/// Offset of the flags in a TCP header, in bytes.
constexpr unsigned tcp_flags_offset = 13;
/// Flag of a packet that opens a connection.
constexpr unsigned tcp_syn = 0x02;
/// Filter result: number of bytes of the packet to keep.
constexpr unsigned keep_whole_packet = 0xffff;

/// Time that the accept queue must stay empty. Longer than a round trip, within
/// which handshakes in progress complete.
constexpr milliseconds min_empty_time{50};
constexpr milliseconds poll_interval{1};

} // namespace

bool listener_stop::refuse_new_connections(int listener)
{
    std::array<sock_filter, 4> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, tcp_syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, keep_whole_packet),
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()),
                             code.data()};
    return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                        sizeof(program)) == 0;
}

bool listener_stop::wait_until_queue_empty(int listener, milliseconds timeout)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + timeout;
    auto empty_since = clock::now();
    while (clock::now() < deadline)
    {
        pollfd waiting{listener, POLLIN, 0};
        if (::poll(&waiting, 1, 0) != 0)
        {
            empty_since = clock::now();
        }
        if (clock::now() - empty_since >= min_empty_time)
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

} // namespace jujubedrum
