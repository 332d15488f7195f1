#pragma once

#include "command.hpp"

#include <utility>

namespace jujubedrum
{

/// Prints what an entry instance reports under /v1/admin/NAME.
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
