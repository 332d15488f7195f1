#pragma once

#include "command_line.hpp"
#include "exit_code.hpp"

#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Prints an object on standard output: with `--json` as one line, else as a
/// line "key: value" for each member.
void print_result(const command_line& line,
                  const nlohmann::ordered_json& result);

/// Prints an error: with `--json` as `{"error","where"}` on standard output,
/// else as a line on standard error. Returns the code.
exit_code print_error(const command_line& line, exit_code code,
                      const std::string& where, const std::string& text);

/// Prints the error of a reason. Returns the code.
template <typename Reason>
exit_code print_error(const command_line& line, exit_code code,
                      const Reason& why)
{
    return print_error(line, code, why.where(), why.text());
}

} // namespace jujubedrum
