#pragma once

#include "base/time.hpp"

namespace jujubedrum
{

/// Steps for closing a listening socket without resetting connections that are
/// already established: closing it at once would reset those that have not been
/// accepted yet.
class listener_stop
{
public:
    /// Drops incoming SYN packets. Their senders retransmit after about a
    /// second and are refused if the socket is closed by then. Handshakes in
    /// progress are completed. Returns false and sets errno if the filter
    /// cannot be attached to the socket.
    [[nodiscard]] static bool refuse_new_connections(int listener);

    /// Waits until the accept queue stays empty, while another thread accepts
    /// the connections. Returns false if it does not within `timeout`.
    [[nodiscard]] static bool wait_until_queue_empty(int listener,
                                                     milliseconds timeout);
};

} // namespace jujubedrum
