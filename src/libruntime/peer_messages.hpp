#pragma once

#include "base/time.hpp"
#include "membership/peer_digest.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// Where the RPC of a peer is reached.
struct peer_address
{
    /// Instance name; there is one connection per name.
    std::string name;
    /// Numeric IP address.
    std::string address;
    std::uint16_t rpc_port = 0;

    bool operator==(const peer_address&) const = default;
};

/// Slots of a backend server that an owner lends.
struct slot_grant
{
    /// Issued by the lender, unique within its incarnation.
    std::uint64_t id = 0;
    std::string server;
    std::uint32_t slots = 0;

    bool operator==(const slot_grant&) const = default;
};

/// A record of the configuration stream.
struct stream_record
{
    std::uint64_t offset = 0;
    std::string data;

    bool operator==(const stream_record&) const = default;
};

struct heartbeat_request
{
    peer_digest digest;
    bool operator==(const heartbeat_request&) const = default;
};

struct borrow_request
{
    std::string borrower;
    std::uint64_t incarnation = 0;
    std::uint32_t count = 0;
    /// Lowest speed factor of a useful server; 0 if any.
    double minimum_speed = 0;
    bool operator==(const borrow_request&) const = default;
};

struct give_back_request
{
    std::string borrower;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> grants;
    bool operator==(const give_back_request&) const = default;
};

struct submit_request
{
    /// The job body as JSON text, id included.
    std::string job;
    /// Time left until the deadline of the job when the request was made.
    microseconds remaining{0};
    /// How often the job has been forwarded already.
    std::uint32_t hops = 0;
    bool operator==(const submit_request&) const = default;
};

struct collect_request
{
    std::string id;
    /// How long the peer may wait for the outcome.
    microseconds wait{0};
    bool operator==(const collect_request&) const = default;
};

struct cancel_request
{
    std::string id;
    bool operator==(const cancel_request&) const = default;
};

struct config_records_request
{
    std::uint64_t from = 0;
    std::uint32_t max = 256;
    bool operator==(const config_records_request&) const = default;
};

struct heartbeat_reply
{
    peer_digest digest;
    bool operator==(const heartbeat_reply&) const = default;
};

struct borrow_reply
{
    std::vector<slot_grant> grants;
    bool operator==(const borrow_reply&) const = default;
};

struct give_back_reply
{
    bool operator==(const give_back_reply&) const = default;
};

struct submit_reply
{
    /// The outcome as JSON text.
    std::string outcome;
    bool operator==(const submit_reply&) const = default;
};

struct collect_reply
{
    /// The outcome as JSON text.
    std::string outcome;
    bool operator==(const collect_reply&) const = default;
};

struct cancel_reply
{
    /// Whether the peer knows the job.
    bool known = false;
    bool operator==(const cancel_reply&) const = default;
};

struct config_records_reply
{
    /// Offset from which to ask next.
    std::uint64_t next = 0;
    std::vector<stream_record> records;
    bool operator==(const config_records_reply&) const = default;
};

/// Errors of the peer RPC.
enum class peer_error
{
    none,
    /// No connection could be made, or it broke.
    unreachable,
    timeout,
    /// The peer answered with an error, or the message breaks a limit.
    refused,
    /// Too many calls are outstanding here or at the peer.
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

/// Ends a call that got no reply, or answers a request with an error.
struct peer_failure
{
    peer_error error = peer_error::none;
    peer_delivery delivery = peer_delivery::unknown;
    std::string text;
    bool operator==(const peer_failure&) const = default;
};

/// The alternatives are in the order of `peer_call_names`.
using peer_request =
    std::variant<heartbeat_request, borrow_request, give_back_request,
                 submit_request, collect_request, cancel_request,
                 config_records_request>;

using peer_reply = std::variant<heartbeat_reply, borrow_reply, give_back_reply,
                                submit_reply, collect_reply, cancel_reply,
                                config_records_reply, peer_failure>;

} // namespace jujubedrum
