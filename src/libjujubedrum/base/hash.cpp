#include "base/hash.hpp"

#include "base/hex.hpp"

#include <array>

#include <openssl/sha.h>

namespace jujubedrum
{

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
    constexpr std::uint64_t fnv_prime = 1099511628211ULL;
    std::uint64_t value = fnv_offset;
    for (const char c : text)
    {
        value ^= static_cast<unsigned char>(c);
        value *= fnv_prime;
    }
    // FNV-1a leaves similar names correlated in the high bits; this finalizer
    // (from MurmurHash3) spreads them, which rendezvous hashing depends on.
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    return to_hex(digest.data(), digest.size());
}

} // namespace jujubedrum
