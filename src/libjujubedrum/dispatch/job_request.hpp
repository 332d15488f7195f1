#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Amounts of resources: the demand of a running task, or the capacity of a
/// backend server.
struct resource_amounts
{
    std::uint32_t cpu = 0;       ///< thousandths of a core
    std::uint32_t memory_mb = 0; ///< megabytes
    std::uint32_t gpu = 0;       ///< accelerators

    bool operator==(const resource_amounts&) const = default;
};

/// Equal tasks of a job that become ready together.
struct job_step
{
    std::uint32_t count = 0;
    resource_amounts demand;
    milliseconds estimate{0};         ///< rough run time declared by the caller
    std::vector<std::uint32_t> after; ///< steps that must have completed before
    std::string label;     ///< label a server must have; may be empty
    std::string data_rack; ///< rack that holds the data; may be empty
    std::uint32_t max_per_server = 0; ///< tasks on one server; 0: no limit

    bool operator==(const job_step&) const = default;
};

/// A job as its caller submitted it.
struct job_request
{
    std::string id;
    std::string payload;
    std::vector<job_step> steps;

    bool operator==(const job_request&) const = default;
};

/// Parameters of a job: those of its route, and the times of its caller.
struct job_terms
{
    std::string service;
    std::uint32_t priority = 0;     ///< 0 is the highest
    std::uint32_t max_attempts = 1; ///< failed runs of a task before it fails
    double stretch = 1.0;      ///< objective as a multiple of the critical path
    milliseconds target{0};    ///< added to the stretched critical path
    milliseconds time_left{0}; ///< until the caller stops waiting
    milliseconds waited{0};    ///< since the caller sent the job
    std::string route = {};    ///< name; known to the accepting instance only

    bool operator==(const job_terms&) const = default;
};

/// How a job ended.
enum class job_outcome
{
    completed,
    failed,     ///< a task failed as often as the route allows
    refused,    ///< no task has run
    incomplete, ///< ended early; some tasks may have run
    /// Some tasks may have run, but none runs any more or can appear, so that
    /// another holder may start the job. Reported between instances only.
    handed_back,
};

/// Returns the name of the outcome, for logs and metrics.
[[nodiscard]] const char* outcome_name(job_outcome outcome);

/// The final result of a job.
struct job_result
{
    job_outcome outcome = job_outcome::incomplete;
    std::string reason;          ///< one word or phrase for logs and replies
    milliseconds retry_after{0}; ///< until the next attempt; refused only

    bool operator==(const job_result&) const = default;
};

} // namespace jujubedrum
