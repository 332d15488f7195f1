#pragma once

#include "membership/membership_error.hpp"
#include "membership/peer_digest.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Returns the digest in a compact binary form: a version byte, texts with a
/// length byte, incarnations as 8 bytes and other numbers as base-128 varints.
/// Names beyond 128 bytes and lists beyond their bounds are truncated.
[[nodiscard]] std::string encode_digest(const peer_digest& digest);

/// Parses the compact form. Bytes after the known fields are ignored, so that
/// a later version can append fields.
/// \param why set if nothing is returned; `where` is the byte offset.
[[nodiscard]] std::optional<peer_digest> decode_digest(std::string_view bytes,
                                                       membership_reason& why);

} // namespace jujubedrum
