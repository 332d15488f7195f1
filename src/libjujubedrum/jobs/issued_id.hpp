#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Id issued by the instance that received a request, in the form
/// `i.<instance>.<incarnation>.<sequence>`.
class issued_id
{
public:
    /// Parses the canonical text form; returns nothing for any other text.
    /// Other spellings of the same numbers are refused, so that each id has
    /// one text.
    static std::optional<issued_id> parse(std::string_view text);
    /// Returns whether the text has the prefix reserved for issued ids.
    static bool has_prefix(std::string_view text)
    {
        return text.starts_with("i.");
    }

    issued_id() = default;
    issued_id(std::string instance, std::uint64_t incarnation,
              std::uint64_t sequence);

    /// Returns the name of the issuing instance.
    [[nodiscard]] const std::string& instance() const
    {
        return this->instance_name;
    }
    /// Returns the incarnation of the issuing process.
    [[nodiscard]] std::uint64_t incarnation() const
    {
        return this->incarnation_value;
    }
    /// Returns the sequence number, which starts at 1.
    [[nodiscard]] std::uint64_t sequence() const
    {
        return this->sequence_value;
    }
    /// Returns the text form.
    [[nodiscard]] std::string text() const;

    auto operator<=>(const issued_id&) const = default;

private:
    std::string instance_name;
    std::uint64_t incarnation_value = 0;
    std::uint64_t sequence_value = 0;
};

/// Returns an incarnation as 16 lower-case hex digits.
[[nodiscard]] std::string incarnation_text(std::uint64_t incarnation);
/// Parses an incarnation of exactly 16 lower-case hex digits; returns nothing
/// for any other text.
[[nodiscard]] std::optional<std::uint64_t>
parse_incarnation(std::string_view text);

} // namespace jujubedrum
