#pragma once

#include "command.hpp"

#include <utility>

namespace jujubedrum
{

/// Prints the reply of an entry instance to GET /v1/admin/NAME, where NAME is
/// the name of the command.
class report_command : public command
{
public:
    report_command(std::string name, std::string summary)
        : name_value(std::move(name))
        , summary_value(std::move(summary))
    {
    }

    [[nodiscard]] std::string name() const override { return this->name_value; }
    [[nodiscard]] std::string summary() const override
    {
        return this->summary_value;
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;

private:
    std::string name_value;
    std::string summary_value;
};

} // namespace jujubedrum
