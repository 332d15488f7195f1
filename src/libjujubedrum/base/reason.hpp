#pragma once

#include <string>
#include <utility>

namespace jujubedrum
{

/// Reason for which an operation returned an empty `std::optional`.
/// \tparam Code the error enumeration of the reporting layer.
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

    [[nodiscard]] Code code() const { return this->code_value; }
    /// Returns where the error occurred: a JSON pointer, field or address.
    [[nodiscard]] const std::string& where() const { return this->where_value; }
    /// Returns what is wrong and how to correct it.
    [[nodiscard]] const std::string& text() const { return this->text_value; }

    /// Returns `where: text`, or only the text if `where` is empty.
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
