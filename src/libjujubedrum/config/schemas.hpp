#pragma once

#include "config/json_schema.hpp"

namespace jujubedrum
{

/// Returns the schema of section "system".
[[nodiscard]] const json_schema& system_schema();

/// Returns the schema of the sections "teams/NAME".
[[nodiscard]] const json_schema& team_schema();

/// Returns the schema of the settings of an entry instance.
[[nodiscard]] const json_schema& settings_schema();

} // namespace jujubedrum
