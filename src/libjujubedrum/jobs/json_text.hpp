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

/// Returns the maximum nesting depth of the text. Exact up to the first syntax
/// error, where the parser stops as well.
[[nodiscard]] std::size_t nesting_depth(std::string_view text);

/// Parses untrusted JSON; on an error returns nothing and sets `why`. Refuses
/// nesting deeper than `max_depth`, because serialising a value recurses once
/// per level, and duplicate keys, because the value of such an object is
/// ambiguous.
[[nodiscard]] std::optional<nlohmann::json>
parse_json(std::string_view text, std::size_t max_depth, job_reason& why);

/// Returns the value as compact JSON text. Invalid UTF-8 is replaced.
[[nodiscard]] std::string compact_json(const nlohmann::json& value);

/// Returns the text as a JSON string, quoted and escaped.
[[nodiscard]] std::string json_string(std::string_view text);

/// Returns the element of `keys` with the smallest edit distance to `key`;
/// `keys` must not be empty.
[[nodiscard]] std::string_view
nearest_key(std::string_view key, const std::vector<std::string_view>& keys);

} // namespace jujubedrum
