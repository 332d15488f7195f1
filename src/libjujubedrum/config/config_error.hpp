#pragma once

#include "base/reason.hpp"

#include <string_view>

namespace jujubedrum
{

/// Error codes of the configuration layer.
enum class config_error
{
    none,
    malformed,       ///< the text is no JSON, or no record of a known type
    duplicate_key,   ///< an object names a key twice
    unknown_key,     ///< the schema has no such key
    missing_key,     ///< a required key is absent
    wrong_type,      ///< a value has another JSON type than the schema asks for
    out_of_bounds,   ///< a value is outside its bounds or not a listed word
    unknown_section, ///< a section name other than "system" or "teams/NAME"
    bad_key,         ///< a key is not 64 hex digits of an Ed25519 key
    bad_signature,   ///< the signature does not match the edit
    wrong_owner,     ///< the editor does not own the section
    stale,           ///< the base is not the section's revision
    repeat,          ///< the edit id was accepted before
    ignored,         ///< the record is behind the reader or of another type
};

/// Explains a refusal of the configuration layer; `where()` is a JSON pointer
/// into the text that was read.
using config_reason = basic_reason<config_error>;

/// Returns the code as a word for logs and JSON output.
[[nodiscard]] std::string_view to_string(config_error code);

} // namespace jujubedrum
