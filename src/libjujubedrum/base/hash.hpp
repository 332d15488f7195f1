#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Returns a 64-bit hash that is the same on every instance and build.
/// Not cryptographic: use `sha256_hex` where an adversary picks the input.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Returns the SHA-256 digest of the text as 64 lower-case hex digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace jujubedrum
