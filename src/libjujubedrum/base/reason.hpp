#pragma once

#include <string>
#include <utility>

namespace jujubedrum
{

/// Explains why an operation returned an empty `std::optional`.
/// \tparam Code the error enumeration of the layer that reports it.
template <typename Code>
class basic_reason
{
public:
    basic_reason() = default;
    basic_reason(Code code, std::string where, std::string text)
        : code_value(code)
        , where_value(std::move(where))
        , text_value(std::move(text))
    {
    }

    /// Returns the error code of the reporting layer.
    [[nodiscard]] Code code() const { return this->code_value; }
    /// Returns the place of the error: a JSON pointer, field or address.
    [[nodiscard]] const std::string& where() const { return this->where_value; }
    /// Returns what is wrong and what to do about it.
    [[nodiscard]] const std::string& text() const { return this->text_value; }

    /// Returns the place and text as one line.
    [[nodiscard]] std::string message() const
    {
        if (this->where_value.empty())
        {
            return this->text_value;
        }
        return this->where_value + ": " + this->text_value;
    }

    bool operator==(const basic_reason&) const = default;

private:
    Code code_value{};
    std::string where_value;
    std::string text_value;
};

} // namespace jujubedrum
