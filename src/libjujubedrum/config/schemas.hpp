#pragma once

#include "config/json_schema.hpp"

namespace jujubedrum
{

/// Returns the schema of section "system".
[[nodiscard]] const json_schema& system_schema();

/// Returns the schema of a section "teams/NAME".
[[nodiscard]] const json_schema& team_schema();

/// Returns the schema of the settings of an instance.
[[nodiscard]] const json_schema& settings_schema();

} // namespace jujubedrum
