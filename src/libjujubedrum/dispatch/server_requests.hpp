#pragma once

#include "base/time.hpp"
#include "dispatch/job_request.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Identifies a task of a job.
struct task_id
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// Identifies one start of a task; runs of a task are numbered from 1.
struct run_id
{
    task_id task;
    std::uint32_t run = 0;

    auto operator<=>(const run_id&) const = default;
};

/// Asks a server to start a run.
struct start_request
{
    run_id run;
    std::string payload;
    std::uint64_t token = 0;      ///< fencing token of the pool
    milliseconds refuse_after{0}; ///< server clock; a later start is refused
};

/// How a server answered a start request.
enum class start_outcome
{
    accepted,
    fenced,    ///< another holder has a higher token
    stale_run, ///< this or a later run was stopped or ended there
    expired,   ///< the request arrived after `refuse_after`
    no_capacity,
    invalid,    ///< the server cannot process the request
    unhealthy,  ///< not started; the server has a fault or is overloaded
    restarted,  ///< the server has restarted
    unanswered, ///< the run may have started, or may start later
};

/// Asks a server for its running and ended runs. With `lease_until` it renews
/// the lease on all of them.
struct poll_request
{
    std::uint64_t token = 0;
    std::uint64_t acknowledged =
        0; ///< the server drops ended runs up to this number
    std::optional<milliseconds> lease_until; ///< server clock
    milliseconds wait{0}; ///< how long the reply may wait for a run to end
};

/// How a run ended.
enum class run_outcome
{
    done,
    failed,
    stopped,           ///< at the holder's request
    lease_expired,     ///< its lease ended
    gang_member_ended, ///< another member of its gang ended
};

/// A run in progress.
struct active_run
{
    run_id run;
    std::uint32_t percent = 0; ///< progress

    bool operator==(const active_run&) const = default;
};

/// A run that ended.
struct ended_run
{
    std::uint64_t number = 0; ///< increases by one with each ended run
    run_id run;
    run_outcome outcome = run_outcome::done;

    bool operator==(const ended_run&) const = default;
};

/// How a server answered a poll.
enum class poll_outcome
{
    answered,
    fenced,
    restarted,
    refused,
    unanswered,
};

/// A server's answer to a poll: its running runs, and the ended ones that were
/// not acknowledged. Only `outcome` is meaningful unless it is `answered`.
struct poll_reply
{
    poll_outcome outcome = poll_outcome::unanswered;
    milliseconds server_clock{0};
    std::uint64_t incarnation = 0; ///< changes with a restart; 0: unknown
    std::vector<active_run> running;
    std::vector<ended_run> ended;
};

} // namespace jujubedrum
