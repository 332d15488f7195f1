#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Collects the answer of a job.
class answer_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "answer"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Collects the answer of a job.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {"ID"};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
