#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Returns the value if it is a whole number from 0 to `max`, otherwise
/// nothing. `json::get()` converts instead: -1 becomes the maximum of an
/// unsigned type, and a floating-point number out of range is undefined
/// behavior.
template <std::unsigned_integral T>
[[nodiscard]] std::optional<T>
whole_number(const nlohmann::json& value, T max = std::numeric_limits<T>::max())
{
    if (value.is_number_float())
    {
        // Larger floating-point numbers do not represent every whole number.
        constexpr double max_exact = 9007199254740992.0; // 2^53
        const double number = value.get<double>();
        if (!(number >= 0 && number <= max_exact) ||
            number != std::trunc(number) ||
            static_cast<std::uint64_t>(number) > max)
        {
            return std::nullopt;
        }
        return static_cast<T>(number);
    }
    if (!value.is_number_integer() ||
        (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
    {
        return std::nullopt;
    }
    const auto number = value.get<std::uint64_t>();
    return number > max ? std::nullopt : std::optional(static_cast<T>(number));
}

/// Returns the duration that the value gives in milliseconds, at most
/// `max_duration`; nothing if it is no number or negative. A fraction of a
/// millisecond is dropped.
[[nodiscard]] inline std::optional<milliseconds>
duration_from_ms(const nlohmann::json& value)
{
    const double number = value.is_number() ? value.get<double>() : -1.0;
    if (!(number >= 0))
    {
        return std::nullopt;
    }
    const auto max = static_cast<double>(max_duration.count());
    return milliseconds(static_cast<std::int64_t>(std::min(number, max)));
}

} // namespace jujubedrum
