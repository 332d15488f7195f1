#pragma once

#include "config/config_error.hpp"
#include "config/section_name.hpp"

#include <string_view>

namespace jujubedrum
{

/// Returns whether the text of a section matches the schema of the system
/// section or of a team section. Members with the key "//" are comments and may
/// have any value.
/// \param why set on failure; `where()` is a JSON pointer into the section.
[[nodiscard]] bool validate_section(const section_name& name,
                                    std::string_view text, config_reason& why);

/// Returns whether a whole document `{"system": {...}, "teams": {...}}` is
/// valid; both members are optional.
/// \param why set on failure; `where()` is a JSON pointer into the document.
[[nodiscard]] bool validate_document(std::string_view text, config_reason& why);

} // namespace jujubedrum
