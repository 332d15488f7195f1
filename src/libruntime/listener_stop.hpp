#pragma once

#include "base/time.hpp"

namespace jujubedrum
{

/// Ends a listening socket without resetting connections that callers have
/// already made: closing it would reset those that wait to be accepted.
class listener_stop
{
public:
    /// Drops requests for new connections; their callers ask again after about
    /// a second and are then refused. Connections that are being made are
    /// completed. Returns false and sets errno if the system does not allow it.
    [[nodiscard]] static bool refuse_new_connections(int listener);

    /// Waits until another thread has accepted all connections. Returns false
    /// if some are left after `timeout`.
    [[nodiscard]] static bool wait_until_queue_empty(int listener,
                                                     milliseconds timeout);
};

} // namespace jujubedrum
