#pragma once

#include "platform_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Returns the offset in the reply to an append, or nothing if it is malformed.
[[nodiscard]] std::optional<std::uint64_t>
parse_append_reply(const std::string& text);

/// Returns the page of records in a reply, or nothing if it is malformed.
[[nodiscard]] std::optional<records_page>
parse_records_page(const std::string& text);

} // namespace jujubedrum
