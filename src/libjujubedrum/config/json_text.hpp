#pragma once

#include "config/config_error.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Returns the parsed JSON object. Refuses nesting deeper than 16 levels, and
/// keys named twice, which other readers might resolve differently.
/// \param max_bytes longest text accepted.
[[nodiscard]] std::optional<nlohmann::json>
parse_json_object(std::string_view text, config_reason& why,
                  std::size_t max_bytes = 1024 * 1024);

/// Returns the source text of each member of a JSON object, exactly as
/// written. The text must have passed `parse_json_object`.
[[nodiscard]] std::map<std::string, std::string>
member_texts(std::string_view text);

/// Removes every "//" member, at any depth.
void remove_comments(nlohmann::json& value);

/// Returns the pointer extended by a key, escaped as RFC 6901 says.
[[nodiscard]] std::string child_pointer(const std::string& pointer,
                                        const std::string& key);

} // namespace jujubedrum
