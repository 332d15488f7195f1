#pragma once

#include "base/log_record.hpp"
#include "base/time.hpp"
#include "membership/peer_digest.hpp"
#include "placement/grant_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// Address of the RPC endpoint of a peer.
struct peer_address
{
    /// Instance name; there is one connection per name.
    std::string name;
    /// Numeric IP address.
    std::string address;
    std::uint16_t rpc_port = 0;

    bool operator==(const peer_address&) const = default;
};

struct heartbeat_request
{
    peer_digest digest;
    /// Slots that the sender has borrowed from the receiver.
    grant_report grants;
    bool operator==(const heartbeat_request&) const = default;
};

struct submit_request
{
    /// The job body as JSON text, id included.
    std::string job;
    /// Time left until the deadline of the job when the request was made.
    microseconds remaining{0};
    /// Number of times the job has been forwarded before.
    std::uint32_t hops = 0;
    bool operator==(const submit_request&) const = default;
};

struct collect_request
{
    std::string id;
    /// Team of the caller. Jobs of other teams are reported to it as unknown.
    std::string team;
    /// Maximum time that the peer may wait for the outcome.
    microseconds max_wait{0};
    bool operator==(const collect_request&) const = default;
};

struct cancel_request
{
    std::string id;
    std::string team;
    bool operator==(const cancel_request&) const = default;
};

struct config_records_request
{
    std::uint64_t from = 0;
    bool operator==(const config_records_request&) const = default;
};

struct heartbeat_reply
{
    peer_digest digest;
    /// Reported grants that the receiver of the report does not know.
    std::vector<std::uint64_t> revoked;
    bool operator==(const heartbeat_reply&) const = default;
};

struct grant_report_reply
{
    std::vector<std::uint64_t> revoked;
    bool operator==(const grant_report_reply&) const = default;
};

/// Reply to `submit_request`, `collect_request` and `cancel_request`.
struct job_reply
{
    /// The outcome or error as JSON text.
    std::string body;
    bool operator==(const job_reply&) const = default;
};

struct config_records_reply
{
    /// Records of stream `config`, or one snapshot record.
    std::vector<log_record> records;
    bool operator==(const config_records_reply&) const = default;
};

/// Errors of the peer RPC.
enum class peer_error
{
    none,
    /// No connection could be established, or it was closed.
    unreachable,
    timeout,
    /// The peer answered with an error, or the message exceeds a limit.
    refused,
    /// Too many calls are outstanding at this instance or at the peer.
    overloaded,
    /// The listening socket could not be set up.
    cannot_listen
};

/// Whether a failed request can have reached the peer.
enum class peer_delivery
{
    not_sent,
    unknown
};

/// Result of a call that got no reply, or an error reply to a request.
struct peer_failure
{
    peer_error error = peer_error::none;
    peer_delivery delivery = peer_delivery::unknown;
    std::string text;
    bool operator==(const peer_failure&) const = default;
};

/// The alternatives are in the order of `peer_call_names`.
using peer_request = std::variant<heartbeat_request, borrow_request,
                                  grant_report, submit_request, collect_request,
                                  cancel_request, config_records_request>;

using peer_reply =
    std::variant<heartbeat_reply, borrow_reply, grant_report_reply, job_reply,
                 config_records_reply, peer_failure>;

} // namespace jujubedrum
