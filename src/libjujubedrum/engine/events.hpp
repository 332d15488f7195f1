#pragma once

#include "base/log_record.hpp"
#include "base/time.hpp"
#include "engine/actions.hpp"
#include "engine/peer_messages.hpp"
#include "engine/task_io.hpp"
#include "jobs/submission.hpp"
#include "membership/instance_page.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// A caller, or a peer on its behalf, submits a job.
struct submit_event
{
    request_token token = 0;
    submission job;
    /// Time left until the deadline.
    microseconds remaining{0};
    /// Number of times the job has been forwarded.
    std::uint32_t hops = 0;
};

/// A caller asks for the outcome of a job.
struct collect_event
{
    request_token token = 0;
    std::string id;
    std::string team;
    std::uint32_t hops = 0;
};

/// A caller cancels a job.
struct cancel_event
{
    request_token token = 0;
    std::string id;
    std::string team;
    std::uint32_t hops = 0;
};

/// A caller asks for a block of ids.
struct ids_event
{
    request_token token = 0;
    std::uint64_t count = 1;
};

/// An attempt to run a task ended.
struct task_event
{
    attempt_id attempt = 0;
    task_reply reply;
};

/// A page of the platform's instance list was read.
struct list_event
{
    instance_page page;
    instant requested_at{0};
};

/// A stream of the log was read.
struct records_event
{
    std::string stream;
    std::uint64_t from = 0;
    std::uint64_t first_retained = 0;
    std::uint64_t next = 0;
    std::vector<log_record> records;
    bool at_end = false;
};

/// A read of the log or the list failed.
struct read_failed_event
{
    std::string stream;
};

/// An append to the log ended.
struct append_event
{
    std::string stream;
    std::uint64_t nonce = 0;
    std::optional<std::uint64_t> offset;
    /// On failure, whether the record is known not to be on the log.
    bool not_written = false;
};

/// A peer sent a request.
struct peer_request_event
{
    request_token token = 0;
    peer_request request;
};

/// A call to a peer ended.
struct peer_reply_event
{
    call_id call = 0;
    peer_reply reply;
};

/// Periodic timer event.
struct tick_event
{
};

/// The process was asked to stop.
struct drain_event
{
};

/// Input of the engine.
using event = std::variant<submit_event, collect_event, cancel_event, ids_event,
                           task_event, list_event, records_event,
                           read_failed_event, append_event, peer_request_event,
                           peer_reply_event, tick_event, drain_event>;

} // namespace jujubedrum
