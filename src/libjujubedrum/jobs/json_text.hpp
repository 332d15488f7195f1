#pragma once

#include "jobs/job_error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Parses JSON read from outside. Refuses nesting deeper than `max_depth`,
/// because writing a value recurses once a level, and duplicate keys, because
/// the value of such an object is ambiguous.
[[nodiscard]] std::optional<nlohmann::json>
parse_json(std::string_view text, std::size_t max_depth, job_reason& why);

/// Returns the value as compact JSON text. Invalid UTF-8 is replaced.
[[nodiscard]] std::string compact_json(const nlohmann::json& value);

/// Returns the text as a JSON string with quotes.
[[nodiscard]] std::string json_string(std::string_view text);

/// Returns the key with the smallest edit distance; `keys` is not empty.
[[nodiscard]] std::string_view
nearest_key(std::string_view key, const std::vector<std::string_view>& keys);

} // namespace jujubedrum
