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
/// \param deadline_ms default of "deadline-ms".
[[nodiscard]] std::vector<option_spec>
entry_options(const std::string& deadline_ms);

/// Returns a client for the instance and token that the options name; nothing
/// if the address is invalid or the token file cannot be read.
/// \param why set to a message for the user if nothing is returned.
[[nodiscard]] std::optional<entry_client> open_entry(const command_line& line,
                                                     std::string& why);

/// Returns whether the text is a valid job id: 1 to 128 letters, digits, '_',
/// '.', ':' and '-'. Such an id needs no escapes in a URL path.
[[nodiscard]] bool is_job_id(const std::string& text);

/// Returns the exit code for a reply about a job: by its "outcome" if it has a
/// known one, else by the HTTP status.
[[nodiscard]] exit_code reply_exit_code(const entry_reply& reply);

/// Prints the body of a reply; if it is not a JSON object, the status and text.
void print_reply(const command_line& line, const entry_reply& reply);

} // namespace jujubedrum
