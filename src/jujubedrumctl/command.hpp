#pragma once

#include "command_line.hpp"
#include "exit_code.hpp"
#include "option_spec.hpp"

#include <string>
#include <vector>

namespace jujubedrum
{

/// Base class of the commands of jujubedrumctl.
class command
{
public:
    virtual ~command() = default;

    /// Returns the name that selects the command on the command line.
    [[nodiscard]] virtual std::string name() const = 0;
    /// Returns the description, one line, that `--help` prints.
    [[nodiscard]] virtual std::string summary() const = 0;
    /// Returns the names of the operands, all of which are required.
    [[nodiscard]] virtual std::vector<std::string> operands() const = 0;
    /// Returns the options other than `--help` and `--json`, which every
    /// command has.
    [[nodiscard]] virtual std::vector<option_spec> options() const = 0;
    /// Runs the command and prints its result or error.
    virtual exit_code run(const command_line& line) = 0;
};

} // namespace jujubedrum
