#pragma once

#include "config/config_error.hpp"

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Returns the first violation of a JSON Schema by a value, described for an
/// operator; nothing if there is none. Supports the keywords type, properties,
/// additionalProperties, propertyNames, required, enum, minimum, maximum, items
/// and pattern; other keywords are not checked.
/// \param pointer JSON pointer to the value in the whole text.
[[nodiscard]] std::optional<config_reason>
find_schema_fault(const nlohmann::json& schema, const nlohmann::json& value,
                  const std::string& pointer);

} // namespace jujubedrum
