#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Returns the bytes as lower-case hex digits.
[[nodiscard]] std::string to_hex(const unsigned char* bytes, std::size_t size);

/// Decodes lower-case hex digits. Returns nothing if the text has an odd length
/// or another character.
[[nodiscard]] std::optional<std::string> from_hex(std::string_view text);

} // namespace jujubedrum
