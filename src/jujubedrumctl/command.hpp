#pragma once

#include "command_line.hpp"
#include "exit_code.hpp"
#include "option_spec.hpp"

#include <string>
#include <vector>

namespace jujubedrum
{

/// A command of jujubedrumctl.
class command
{
public:
    virtual ~command() = default;

    /// Returns the name on the command line.
    [[nodiscard]] virtual std::string name() const = 0;
    /// Returns one line for the list of commands.
    [[nodiscard]] virtual std::string summary() const = 0;
    /// Returns the names of the operands.
    [[nodiscard]] virtual std::vector<std::string> operands() const = 0;
    /// Returns the options beyond `--help` and `--json`.
    [[nodiscard]] virtual std::vector<option_spec> options() const = 0;
    /// Runs the command and prints its result.
    virtual exit_code run(const command_line& line) = 0;
};

} // namespace jujubedrum
