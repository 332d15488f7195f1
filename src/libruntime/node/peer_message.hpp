#pragma once

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

/// What an instance tells all others about itself.
struct heartbeat_message
{
    instance_view instance;
    dispatch_load load;
    milliseconds interval{0}; ///< until the next hello over the same link
    bool operator==(const heartbeat_message&) const = default;
};

struct submit_message
{
    std::uint64_t ticket = 0;
    job_request request;
    job_terms terms;
    bool operator==(const submit_message&) const = default;
};

struct result_message
{
    std::uint64_t ticket = 0;
    job_result result;
    dispatch_load load; ///< of the holder, after the job
    bool operator==(const result_message&) const = default;
};

struct cancel_message
{
    std::string id;
    std::string reason;
    bool operator==(const cancel_message&) const = default;
};

/// Servers on which nothing of a stopping holder runs any more.
struct release_message
{
    std::vector<std::string> servers;
    bool operator==(const release_message&) const = default;
};

using dispatch_message =
    std::variant<heartbeat_message, submit_message, result_message,
                 cancel_message, release_message>;

/// Returns the message with its length in front.
[[nodiscard]] std::string encode_frame(const dispatch_message& message);

/// Returns the message in the bytes behind a frame's length.
/// \param why set if the bytes are no message of this version.
[[nodiscard]] std::optional<dispatch_message>
decode_message(std::string_view bytes, std::string& why);

} // namespace jujubedrum
