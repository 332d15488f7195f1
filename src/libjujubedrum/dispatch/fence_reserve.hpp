#pragma once

#include <cstdint>
#include <optional>

namespace jujubedrum
{

/// Fencing tokens that belong to one number from the store. Tokens stay below
/// 2^53, up to which JSON numbers are exact, for 2^25 numbers.
constexpr std::uint64_t tokens_per_fence = std::uint64_t{1} << 28;

/// Derives fencing tokens while the store does not answer.
///
/// The store gives each number once. An instance keeps one that it has taken
/// and used for no pool, so all tokens that belong to it are its own: two
/// instances that neither reach each other nor the store cannot derive the same
/// token. The next number from the store is higher, and so are its tokens.
class fence_reserve
{
public:
    /// Distance of two derived tokens. Earlier versions derive tokens less than
    /// 16 * 2^18 above one that they know, which therefore never equal these.
    static constexpr std::uint64_t derived_step = std::uint64_t{1} << 22;

    /// Returns the first token that belongs to a number from the store.
    [[nodiscard]] static std::uint64_t first_token(std::uint64_t fence)
    {
        return (fence + 1) * tokens_per_fence;
    }
    /// Keeps a number that the store gave to this instance alone.
    void keep(std::uint64_t fence) { this->first = first_token(fence); }
    /// Returns whether the kept number is above this token.
    [[nodiscard]] bool is_above(std::uint64_t token) const
    {
        return this->first && *this->first > token;
    }
    /// Returns an own token above this one; empty if there is none.
    [[nodiscard]] std::optional<std::uint64_t>
    token_above(std::uint64_t token) const;

private:
    std::optional<std::uint64_t> first;
};

} // namespace jujubedrum
