#pragma once

#include "option_spec.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Parsed options and operands of a command.
class command_line
{
public:
    /// Parses `argv[1]` and on; `argv[0]` is the command. Returns nothing if an
    /// option is unknown, lacks its value or is not a number where one is
    /// needed, or if a required option or an operand is missing. With `--help`
    /// only the options given are checked.
    /// \param operands exact number of operands.
    /// \param why set to a message for the user if nothing is returned.
    [[nodiscard]] static std::optional<command_line>
    parse(const std::vector<option_spec>& specs, std::size_t operands, int argc,
          char** argv, std::string& why);

    /// Returns whether the flag is set or the option has a value.
    [[nodiscard]] bool has(const std::string& name) const;
    /// Returns the value of the option, its default, or an empty text.
    [[nodiscard]] std::string text(const std::string& name) const;
    /// Returns the value of a number option; 0 if it has none.
    [[nodiscard]] std::uint64_t number(const std::string& name) const;
    /// Returns the operand at the index; empty if `--help` is set.
    [[nodiscard]] std::string operand(std::size_t index) const;

private:
    std::map<std::string, std::string> values;
    std::vector<std::string> operand_values;
};

} // namespace jujubedrum
