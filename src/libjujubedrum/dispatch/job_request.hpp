#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// What a task needs of a backend server while it runs.
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
    std::vector<std::uint32_t> after; ///< steps that must have ended before
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

/// How the jobs of a route are run.
struct job_terms
{
    std::string service;
    std::uint32_t priority = 0;     ///< 0 comes first
    std::uint32_t max_attempts = 1; ///< failed runs of a task before it fails
    double stretch = 1.0;           ///< allowed multiple of the ideal run time
    milliseconds target{0};         ///< allowed time beyond that
    milliseconds time_left{0};      ///< until the caller stops waiting
    milliseconds waited{0};         ///< since the caller sent the job

    bool operator==(const job_terms&) const = default;
};

/// How a job ended.
enum class job_outcome
{
    completed,
    failed,     ///< a task failed as often as the route allows
    refused,    ///< nothing has run
    incomplete, ///< given up; some tasks may have run
};

/// Returns the outcome as a word, for logs and metrics.
[[nodiscard]] const char* outcome_name(job_outcome outcome);

/// The final answer to a job.
struct job_result
{
    job_outcome outcome = job_outcome::incomplete;
    std::string reason;          ///< one word or phrase for logs and replies
    milliseconds retry_after{0}; ///< when to come back; refused only

    bool operator==(const job_result&) const = default;
};

} // namespace jujubedrum
