#pragma once

#include "command.hpp"
#include "config_log.hpp"

#include "config/config_edit.hpp"

#include <optional>

namespace jujubedrum
{

/// Signs an edit of a section, appends it to the log and waits for the verdict
/// on it.
class publish_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "publish"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Publishes a section and waits until it is in force.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;

private:
    exit_code publish(const command_line& line, const section_name& section,
                      const std::string& body, const key_pair& key);
    /// Appends the edit, with retries, and reads the log until it holds a
    /// verdict or the deadline passes.
    exit_code append(const command_line& line, platform_client& client,
                     config_log& log, const config_edit& edit);
};

} // namespace jujubedrum
