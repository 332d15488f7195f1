#pragma once

#include "config/config_error.hpp"
#include "config/section_name.hpp"

#include <string_view>

namespace jujubedrum
{

/// Checks the text of a section against the schema of its kind.
/// Keys that are exactly "//" are comments and may hold any value.
/// \param why set on failure, `where()` being a JSON pointer into the section.
[[nodiscard]] bool validate_section(const section_name& name,
                                    std::string_view text, config_reason& why);

/// Checks a whole document `{"system": {...}, "teams": {...}}`.
[[nodiscard]] bool validate_document(std::string_view text, config_reason& why);

} // namespace jujubedrum
