#pragma once

#include <chrono>
#include <cstdint>

namespace jujubedrum
{

/// Times and budgets of an instance that are rarely changed.
struct tunables
{
    /// How long an issued id may be started.
    std::chrono::milliseconds id_lifetime{600000};
    /// How long a finished answer is held for collection.
    std::chrono::milliseconds answer_lifetime{600000};
    /// Largest age of a caller's own id; below a third of the log retention.
    std::chrono::milliseconds claim_window{600000};
    /// How long an instance waits for its claim to show on the log.
    std::chrono::milliseconds claim_timeout{3000};
    /// Largest distance of a caller's clock into the future.
    std::chrono::milliseconds clock_skew{30000};
    /// Claim appends per second of all instances together.
    std::uint32_t claim_append_budget = 150;
    /// Period of heartbeats between peers.
    std::chrono::milliseconds heartbeat_interval{500};
    /// Idle time after which a borrowed slot is returned.
    std::chrono::milliseconds grant_linger{4000};
    /// Longest wait of a read of stream `config`.
    std::chrono::milliseconds config_poll_wait{2000};
    /// Period of reads of the platform's list.
    std::chrono::milliseconds list_poll_interval{1000};
    /// How long the platform's log keeps records.
    std::chrono::milliseconds log_retention{3600000};
    /// Timeout of a connection to the platform, a peer or a backend server.
    std::chrono::milliseconds connect_timeout{500};
    /// Longest wait for running jobs after SIGTERM.
    std::chrono::milliseconds drain_timeout{70000};

    bool operator==(const tunables&) const = default;
};

} // namespace jujubedrum
