#pragma once

#include "dispatch/closed_link_finder.hpp"
#include "dispatch/job_request.hpp"
#include "dispatch/pool_dispatcher.hpp"
#include "dispatch/pool_election.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// Periodic state of an instance, sent over each link (`Hello` in the schema).
struct heartbeat_message
{
    instance_view instance;
    dispatch_load load;
    milliseconds interval{0};       ///< until the next heartbeat over this link
    bool accepts_alive = true;      ///< the sender decodes `alive_message`
    bool accepts_recall = true;     ///< the sender decodes `recall_message`
    bool accepts_link_state = true; ///< the sender decodes `link_state_message`
    bool accepts_nul = true;        ///< the sender reads texts beyond a U+0000
    /// Time on the sender's clock, at the latest when it sent this. 0: the
    /// sender neither sends nor decodes `confirm_message`.
    instant sent_at{0};
    bool operator==(const heartbeat_message&) const = default;
};

/// Heartbeat that repeats the instance view of the last `heartbeat_message`
/// over the link, with less than a third of its bytes.
struct alive_message
{
    dispatch_load load;
    milliseconds interval{0}; ///< until the next heartbeat over this link
    /// Low bits of the time at which it was sent, as in `heartbeat_message`, in
    /// milliseconds. The upper ones follow from the last heartbeat.
    std::uint32_t sent_at_ms = 0;
    bool operator==(const alive_message&) const = default;
};

/// Proves to a holder that the instance which accepted its jobs is alive. It
/// proves the same however long it is under way.
struct confirm_message
{
    /// Time on the receiver's clock at which the sender was alive and had
    /// handled what reached it before, so that it would have noticed a caller
    /// who had left. Never ahead of the true time but by the drift of clocks.
    instant alive_at{0};
    bool operator==(const confirm_message&) const = default;
};

struct submit_message
{
    std::uint64_t ticket = 0;
    job_request request;
    job_terms terms;
    /// `instance_view::server_number` that the sender has last seen of the
    /// holder; 0 in messages of earlier versions.
    std::uint64_t seen_server_number = 0;
    bool operator==(const submit_message&) const = default;
};

struct result_message
{
    std::uint64_t ticket = 0;
    job_result result;
    dispatch_load load; ///< of the holder, when the job ended
    bool operator==(const result_message&) const = default;
};

/// Cancels a job at its holder.
struct cancel_message
{
    std::string id;
    std::string reason;
    /// Ticket of the attempt that ended at the sender. A job that a later
    /// attempt waits for goes on. 0 cancels the job in any case.
    std::uint64_t ticket = 0;
    bool operator==(const cancel_message&) const = default;
};

/// Backend servers that a stopping holder has released, since none of its runs
/// remain on them.
struct release_message
{
    std::vector<std::string> servers;
    bool operator==(const release_message&) const = default;
};

/// Confirms the server number of the last `heartbeat_message`, so that the
/// holder uses the new servers for open jobs of the sender.
struct seen_message
{
    std::uint64_t server_number = 0;
    bool operator==(const seen_message&) const = default;
};

/// Asks a holder to give a job back as refused, since another holder has free
/// capacity. Has no effect once a task of the job has started.
struct recall_message
{
    std::string id;
    std::uint64_t ticket = 0; ///< of the attempt at the sender
    bool operator==(const recall_message&) const = default;
};

/// Which links to the receiver the sender has open. The receiver closes the
/// others, so that nothing that the sender has given up is read any more.
struct link_state_message
{
    peer_link_state state;
    bool operator==(const link_state_message&) const = default;
};

using dispatch_message =
    std::variant<heartbeat_message, submit_message, result_message,
                 cancel_message, release_message, alive_message, seen_message,
                 confirm_message, recall_message, link_state_message>;

/// Returns the encoded message, preceded by its length in four bytes, least
/// significant first.
[[nodiscard]] std::string encode_frame(const dispatch_message& message);

/// Decodes the bytes that follow the length in a frame. Returns nothing if they
/// are not a known message.
/// \param why set to the reason in this case.
[[nodiscard]] std::optional<dispatch_message>
decode_message(std::string_view bytes, std::string& why);

} // namespace jujubedrum
