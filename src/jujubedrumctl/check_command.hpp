#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Checks a document, a section or the settings of an instance.
class check_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "check"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Checks a whole document, one section, or daemon settings.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {"FILE"};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
