#pragma once

#include <chrono>
#include <cstdint>

namespace jujubedrum
{

/// Durations and budgets of an entry instance that are rarely changed.
struct tunables
{
    /// Time after its issue during which an id may be started.
    std::chrono::milliseconds id_lifetime{600000};
    /// Time for which a finished answer is kept for collection.
    std::chrono::milliseconds answer_lifetime{600000};
    /// Maximum age of an id made by a caller; at most a third of
    /// `log_retention`.
    std::chrono::milliseconds claim_window{600000};
    /// Maximum time to wait for the instance's claim to appear on the log.
    std::chrono::milliseconds claim_timeout{3000};
    /// Maximum time by which a caller's clock may be ahead.
    std::chrono::milliseconds clock_skew{30000};
    /// Maximum claim appends per second, summed over all instances.
    std::uint32_t claim_append_budget = 150;
    /// Interval between heartbeats to a peer.
    std::chrono::milliseconds heartbeat_interval{500};
    /// Idle time after which a borrowed slot is returned.
    std::chrono::milliseconds grant_linger{4000};
    /// Maximum time for which a read of stream `config` waits for a record.
    std::chrono::milliseconds config_poll_wait{2000};
    /// Interval between reads of the platform's instance list.
    std::chrono::milliseconds list_poll_interval{1000};
    /// Time for which the platform's log retains records.
    std::chrono::milliseconds log_retention{3600000};
    /// Timeout for connecting to the platform, a peer or a backend server.
    std::chrono::milliseconds connect_timeout{500};
    /// Maximum time to wait for running jobs after SIGTERM.
    std::chrono::milliseconds drain_timeout{70000};

    bool operator==(const tunables&) const = default;
};

} // namespace jujubedrum
