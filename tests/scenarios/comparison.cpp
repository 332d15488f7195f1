#include "comparison.hpp"

#include "scenario_error.hpp"

#include <algorithm>
#include <cstdlib>

namespace jujubedrum
{

namespace
{

template <typename T>
bool compare_values(const T& left, const std::string& operation, const T& right)
{
    if (operation == "=")
    {
        return left == right;
    }
    if (operation == "!=")
    {
        return left != right;
    }
    if (operation == "<")
    {
        return left < right;
    }
    if (operation == "<=")
    {
        return left <= right;
    }
    if (operation == ">")
    {
        return left > right;
    }
    if (operation == ">=")
    {
        return left >= right;
    }
    throw scenario_error("unknown operator " + operation);
}

} // namespace

bool compare(const nlohmann::json& value, const std::string& operation,
             const std::string& word)
{
    if (value.is_number())
    {
        char* end = nullptr;
        const double number = std::strtod(word.c_str(), &end);
        if (*end == '\0')
        {
            return compare_values(value.get<double>(), operation, number);
        }
    }
    const std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    return compare_values(text, operation, word);
}

nlohmann::json value_at(const nlohmann::json& document, std::string path)
{
    if (!path.starts_with('/'))
    {
        std::replace(path.begin(), path.end(), '.', '/');
        path.insert(0, "/");
    }
    const nlohmann::json::json_pointer pointer(path);
    return document.contains(pointer) ? document.at(pointer) : nlohmann::json();
}

} // namespace jujubedrum
