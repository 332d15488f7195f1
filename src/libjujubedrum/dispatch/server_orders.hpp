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

/// Names a task of a job.
struct task_id
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// Names one start of a task; runs of a task are numbered from 1.
struct run_id
{
    task_id task;
    std::uint32_t run = 0;

    auto operator<=>(const run_id&) const = default;
};

/// Asks a server to start a run.
struct start_order
{
    run_id run;
    std::string payload;
    std::uint64_t token = 0;      ///< fencing token of the pool
    milliseconds refuse_after{0}; ///< server clock; a later start is refused
};

/// What a server said to a start.
enum class start_verdict
{
    accepted,
    fenced,    ///< another holder has a higher token
    stale_run, ///< this or a later run was stopped or ended there
    expired,   ///< it arrived after `refuse_after`
    no_room,
    invalid,    ///< the server cannot read the order
    unhealthy,  ///< nothing was done; the server is in trouble
    other_life, ///< the server was restarted
    unanswered, ///< may have been started, or may be later
};

/// Asks a server for its runs and renews the lease on all of them.
struct look_order
{
    std::uint64_t token = 0;
    std::uint64_t acknowledged = 0; ///< ends up to this number are forgotten
    std::optional<milliseconds> lease_until; ///< server clock
    milliseconds wait{0};                    ///< how long to wait for an end
};

/// How a run ended.
enum class run_end
{
    done,
    failed,
    stopped, ///< on our order
    lapsed,  ///< its lease ended
    broken,  ///< another member of its gang ended
};

/// A run in progress.
struct running_row
{
    run_id run;
    std::uint32_t percent = 0; ///< progress

    bool operator==(const running_row&) const = default;
};

/// A run that ended.
struct ended_row
{
    std::uint64_t number = 0; ///< rises by one with each end on the server
    run_id run;
    run_end how = run_end::done;

    bool operator==(const ended_row&) const = default;
};

/// Whether a server answered a look.
enum class look_verdict
{
    listed,
    fenced,
    other_life,
    refused,
    unanswered,
};

/// What a server runs and what ended there.
struct server_listing
{
    look_verdict verdict = look_verdict::unanswered;
    milliseconds server_clock{0};
    std::uint64_t born = 0; ///< identifies this life of the server; 0: unknown
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

} // namespace jujubedrum
