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
/// duplicate keys, which other readers might resolve differently.
/// \param why set if the text is refused.
/// \param max_bytes maximum length of the text.
[[nodiscard]] std::optional<nlohmann::json>
parse_json_object(std::string_view text, config_reason& why,
                  std::size_t max_bytes = 1024 * 1024);

/// Returns the source text of each member of a JSON object, exactly as
/// written. The text must have passed `parse_json_object`.
[[nodiscard]] std::map<std::string, std::string>
member_texts(std::string_view text);

/// Removes every "//" member, at any depth.
void remove_comments(nlohmann::json& value);

/// Returns the JSON pointer extended by a key, escaped according to RFC 6901.
[[nodiscard]] std::string child_pointer(const std::string& pointer,
                                        const std::string& key);

} // namespace jujubedrum
