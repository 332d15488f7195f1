#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Compares a JSON value with a word of a script by =, !=, <, <=, > or >=: as
/// numbers if both are numbers, otherwise as text. Throws scenario_error on
/// any other operator.
bool compare(const nlohmann::json& value, const std::string& operation,
             const std::string& word);

/// Returns the value at a JSON pointer or at a path with dots, or null if the
/// document has none.
nlohmann::json value_at(const nlohmann::json& document, std::string path);

} // namespace jujubedrum
