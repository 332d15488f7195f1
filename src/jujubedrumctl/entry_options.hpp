#pragma once

#include "command_line.hpp"
#include "entry_client.hpp"
#include "exit_code.hpp"
#include "option_spec.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Returns the options of commands that call an entry instance: "entry",
/// "token", "token-file" and "deadline-ms".
[[nodiscard]] std::vector<option_spec>
entry_options(const std::string& deadline_ms);

/// Returns the client that the options name.
/// \param why set to a message for the user.
[[nodiscard]] std::optional<entry_client> open_entry(const command_line& line,
                                                     std::string& why);

/// Returns whether the text may be a job id, which stands in a path.
[[nodiscard]] bool is_job_id(const std::string& text);

/// Returns the exit code of a reply about a job, from its "outcome" or else
/// from the HTTP status.
[[nodiscard]] exit_code reply_exit_code(const entry_reply& reply);

/// Prints the body of a reply.
void print_reply(const command_line& line, const entry_reply& reply);

} // namespace jujubedrum
