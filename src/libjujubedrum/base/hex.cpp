#include "base/hex.hpp"

namespace jujubedrum
{

namespace
{

constexpr std::string_view digits = "0123456789abcdef";

std::optional<unsigned> digit_value(char c)
{
    const std::size_t at = digits.find(c);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    return static_cast<unsigned>(at);
}

} // namespace

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
    {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xfU];
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2)
    {
        const auto high = digit_value(text[i]);
        const auto low = digit_value(text[i + 1]);
        if (!high || !low)
        {
            return std::nullopt;
        }
        bytes += static_cast<char>(*high << 4U | *low);
    }
    return bytes;
}

} // namespace jujubedrum
