#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Identifies one attempt to run one task; unique within a process.
using attempt_id = std::uint64_t;

/// Result of sending one task to a backend server.
enum class send_status
{
    /// The complete answer of this task arrived.
    answered,
    /// The backend server reported that the task ran and failed.
    task_failed,
    /// No byte of the request was processed: the task did not start.
    not_started,
    /// The request may have been received: the task may have started.
    unknown,
};

/// Request to a backend server to run one task.
struct task_request
{
    std::string server;
    std::string address;
    int port = 0;
    /// Task name on the wire: `<job id>/<index>`.
    std::string task;
    std::string kind;
    /// A JSON value as text.
    std::string payload;
    std::uint32_t memory_mb = 0;
    milliseconds run_time{0};
    /// Maximum time to wait for the reply.
    milliseconds timeout{0};

    bool operator==(const task_request&) const = default;
};

/// Reply to a `task_request`.
struct task_reply
{
    send_status status = send_status::unknown;
    /// The task's result as JSON text; empty unless `status` is `answered`.
    std::string result;
    /// Run time that the backend server reports; zero if unknown.
    microseconds run_time{0};
    /// Whether the backend server reported that it is draining.
    bool draining = false;
    /// Description of the failure; empty unless the task failed.
    std::string error;

    bool operator==(const task_reply&) const = default;
};

} // namespace jujubedrum
