#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Submits a job and waits for its answer. A job without an id gets one from
/// the instance first.
class submit_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "submit"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Submits a job and waits for its answer.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {"FILE"};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
