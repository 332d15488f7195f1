#pragma once

#include "command.hpp"

#include <memory>
#include <vector>

namespace jujubedrum
{

/// Returns all commands in the order of the list that `--help` prints.
[[nodiscard]] std::vector<std::unique_ptr<command>> command_table();

} // namespace jujubedrum
