#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Cancels a job.
class cancel_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "cancel"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Cancels a job.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {"ID"};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
