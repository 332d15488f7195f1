#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Prints the configuration in force: the document that results from the log,
/// or one section of it.
class show_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "show"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Prints the configuration in force on the platform's log.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
