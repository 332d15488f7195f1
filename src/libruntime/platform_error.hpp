#pragma once

#include "base/reason.hpp"

#include <string_view>

namespace jujubedrum
{

/// Error codes of calls to the platform.
enum class platform_error
{
    none,
    unreachable, ///< no connection: the call had no effect
    timeout,     ///< no complete reply: the call may have taken effect
    refused,     ///< the platform refused the call, which had no effect
    malformed,   ///< unreadable reply: the call may have taken effect
};

/// Cause of a failed call; `where()` is the HTTP method and path.
using platform_reason = basic_reason<platform_error>;

/// Returns the name of the code for logs and JSON output.
[[nodiscard]] std::string_view to_string(platform_error code);

} // namespace jujubedrum
