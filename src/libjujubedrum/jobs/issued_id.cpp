#include "jobs/issued_id.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujubedrum
{

namespace
{

bool is_instance_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
}

std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string incarnation_text(std::uint64_t incarnation)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = text.size(); i > 0; --i)
    {
        text[i - 1] = digits[incarnation & 0xfU];
        incarnation >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> parse_incarnation(std::string_view text)
{
    const std::optional<std::uint64_t> value = parse_number(text, 16);
    if (!value || incarnation_text(*value) != text)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<issued_id> issued_id::parse(std::string_view text)
{
    if (text.size() > 128 || !has_prefix(text))
    {
        return std::nullopt;
    }
    // The name of an instance may contain dots, so the text is split at its
    // last two dots.
    const std::size_t second = text.rfind('.');
    const std::size_t first = text.rfind('.', second - 1);
    if (first == std::string_view::npos || first <= 2)
    {
        return std::nullopt;
    }
    const std::string_view name = text.substr(2, first - 2);
    const auto incarnation =
        parse_incarnation(text.substr(first + 1, second - first - 1));
    const auto sequence = parse_number(text.substr(second + 1), 10);
    if (!incarnation || !sequence || *sequence == 0 ||
        !std::all_of(name.begin(), name.end(), is_instance_character))
    {
        return std::nullopt;
    }
    issued_id id(std::string(name), *incarnation, *sequence);
    if (id.text() != text)
    {
        return std::nullopt;
    }
    return id;
}

issued_id::issued_id(std::string instance, std::uint64_t incarnation,
                     std::uint64_t sequence)
    : instance_name(std::move(instance))
    , incarnation_value(incarnation)
    , sequence_value(sequence)
{
}

std::string issued_id::text() const
{
    return "i." + this->instance_name + "." +
           incarnation_text(this->incarnation_value) + "." +
           std::to_string(this->sequence_value);
}

} // namespace jujubedrum
