#pragma once

#include "membership/membership_error.hpp"
#include "membership/peer_digest.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Encodes the digest in a compact binary format: a version byte, strings with
/// a length byte, incarnations as 8 bytes, little-endian, enumerators as one
/// byte and other numbers as base-128 varints. Names longer than 128 bytes and
/// lists longer than their bounds are truncated.
[[nodiscard]] std::string encode_digest(const peer_digest& digest);

/// Decodes the compact format. Returns nothing if the input is truncated, has a
/// value out of range or an unknown format version. Bytes after the known
/// fields are ignored, so that a later release can append fields.
/// \param why set if nothing is returned; `where` is the byte offset.
[[nodiscard]] std::optional<peer_digest> decode_digest(std::string_view bytes,
                                                       membership_reason& why);

} // namespace jujubedrum
