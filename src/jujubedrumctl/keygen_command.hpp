#pragma once

#include "command.hpp"

namespace jujubedrum
{

/// Generates an Ed25519 key pair for signing edits.
class keygen_command : public command
{
public:
    [[nodiscard]] std::string name() const override { return "keygen"; }
    [[nodiscard]] std::string summary() const override
    {
        return "Writes a private key to a file and prints its public key.";
    }
    [[nodiscard]] std::vector<std::string> operands() const override
    {
        return {};
    }
    [[nodiscard]] std::vector<option_spec> options() const override;
    exit_code run(const command_line& line) override;
};

} // namespace jujubedrum
