#include "output.hpp"

#include <iostream>

namespace jujubedrum
{

namespace
{

using json = nlohmann::ordered_json;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

void print_result(const command_line& line,
                  const nlohmann::ordered_json& result)
{
    if (line.has("json") || !result.is_object())
    {
        std::cout << dump(result) << "\n";
        return;
    }
    for (const auto& [key, value] : result.items())
    {
        std::cout << key << ": "
                  << (value.is_string() ? value.get<std::string>()
                                        : dump(value))
                  << "\n";
    }
}

exit_code print_error(const command_line& line, exit_code code,
                      const std::string& where, const std::string& text)
{
    if (line.has("json"))
    {
        json error;
        error["error"] = text;
        error["where"] = where;
        std::cout << dump(error) << "\n";
        return code;
    }
    std::cerr << "jujubedrumctl: " << (where.empty() ? "" : where + ": ")
              << text << "\n";
    return code;
}

} // namespace jujubedrum
