#pragma once

#include "command_line.hpp"
#include "endpoint.hpp"
#include "option_spec.hpp"

#include <string>
#include <vector>

namespace jujubedrum
{

/// Returns the options of commands that read the platform's log: "platform",
/// "admin-public-key" and "deadline-ms", in this order.
[[nodiscard]] std::vector<option_spec> platform_options();

/// Returns whether "admin-public-key" is absent or holds 64 lower-case hex
/// digits.
[[nodiscard]] bool is_admin_key_valid(const command_line& line);

/// Returns the message for an invalid "platform" option or, if that is valid,
/// for an invalid "admin-public-key".
[[nodiscard]] std::string platform_usage_error(bool endpoint_valid);

} // namespace jujubedrum
