#pragma once

#include "command_line.hpp"
#include "exit_code.hpp"

#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Prints a result on standard output: an object without `--json` as a line
/// "key: value" for each member, anything else as one line of JSON.
void print_result(const command_line& line,
                  const nlohmann::ordered_json& result);

/// Prints an error: with `--json` as an object with "error" and "where" on
/// standard output, else as a line on standard error.
/// \param where what the error is about; may be empty.
/// \return the code passed in.
exit_code print_error(const command_line& line, exit_code code,
                      const std::string& where, const std::string& text);

/// Prints a reason as an error and returns the code passed in.
template <typename Reason>
exit_code print_error(const command_line& line, exit_code code,
                      const Reason& why)
{
    return print_error(line, code, why.where(), why.text());
}

} // namespace jujubedrum
