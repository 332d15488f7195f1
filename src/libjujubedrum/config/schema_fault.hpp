#pragma once

#include "config/config_error.hpp"

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Finds the first fault of a value against a JSON Schema and words it for an
/// operator. Knows the keywords type, properties, additionalProperties,
/// propertyNames, required, enum, minimum, maximum, items and pattern.
[[nodiscard]] std::optional<config_reason>
find_schema_fault(const nlohmann::json& schema, const nlohmann::json& value,
                  const std::string& pointer);

} // namespace jujubedrum
