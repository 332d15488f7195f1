#pragma once

#include "engine/api_reply.hpp"
#include "engine/peer_messages.hpp"
#include "engine/running_job.hpp"
#include "engine/task_io.hpp"
#include "jobs/id_block.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace jujubedrum
{

/// Identifies a call to a peer until its reply.
using call_id = std::uint64_t;

/// Answers a request about a job.
struct reply_action
{
    request_token token = 0;
    api_reply reply;
};

/// Answers a request for ids.
struct ids_action
{
    request_token token = 0;
    id_block block;
};

/// Sends one attempt of a task to a backend server.
struct send_task_action
{
    attempt_id attempt = 0;
    task_request request;
};

/// Requests that a backend server stop a task.
struct stop_task_action
{
    std::string address;
    int port = 0;
    std::string task;
};

/// Sends a request to a peer.
struct call_peer_action
{
    call_id call = 0;
    peer_address peer;
    peer_request request;
};

/// Answers a request of a peer.
struct reply_peer_action
{
    request_token token = 0;
    peer_reply reply;
};

/// Appends a record to a stream of the log, at most once.
struct append_action
{
    std::string stream;
    std::string record;
    /// Returned in the `append_event` that carries the result.
    std::uint64_t nonce = 0;
};

/// Reads a stream of the log.
struct read_action
{
    std::string stream;
    std::uint64_t from = 0;
};

/// Announces that a new configuration is in force.
struct document_action
{
    std::uint64_t revision = 0;
};

/// An operation that the process performs for the engine.
using action =
    std::variant<reply_action, ids_action, send_task_action, stop_task_action,
                 call_peer_action, reply_peer_action, append_action,
                 read_action, document_action>;

} // namespace jujubedrum
