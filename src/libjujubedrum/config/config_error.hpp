#pragma once

#include "base/reason.hpp"

#include <string_view>

namespace jujubedrum
{

/// Error codes of the configuration layer.
enum class config_error
{
    none,
    malformed,       ///< the text is not JSON, or not a record of a known type
    duplicate_key,   ///< an object contains a key twice
    unknown_key,     ///< the schema does not define the key
    missing_key,     ///< a required key is absent
    wrong_type,      ///< a value's JSON type differs from the schema's
    out_of_bounds,   ///< a value is outside its bounds or not in its enum
    unknown_section, ///< the section name is not "system" or "teams/NAME"
    bad_key,         ///< a key is not 64 hex digits of an Ed25519 key
    bad_signature,   ///< the signature does not match the edit
    wrong_owner,     ///< the editor does not own the section
    stale,           ///< the base revision is not the section's revision
    repeat,          ///< an edit with this id was accepted before
    ignored,         ///< the record was read before or has another type
};

/// Reason for a refusal by the configuration layer; `where()` is a JSON pointer
/// into the text that was parsed.
using config_reason = basic_reason<config_error>;

/// Returns the code's name for logs and JSON output.
[[nodiscard]] std::string_view to_string(config_error code);

} // namespace jujubedrum
