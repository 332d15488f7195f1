#include "backend/server_options.hpp"

#include <cstdlib>
#include <sstream>

namespace jujubedrum
{

namespace
{

bool set_field(server_options& options, const std::string& key,
               const std::string& value)
{
    const double number = std::strtod(value.c_str(), nullptr);
    if (key == "name")
    {
        options.name = value;
    }
    else if (key == "address")
    {
        options.address = value;
    }
    else if (key == "domain")
    {
        options.domain = value;
    }
    else if (key == "port")
    {
        options.port = static_cast<int>(number);
    }
    else if (key == "speed")
    {
        options.speed = number;
    }
    else if (key == "slots")
    {
        options.slots = static_cast<int>(number);
    }
    else if (key == "connections")
    {
        options.connections = static_cast<int>(number);
    }
    else if (key == "memory_mb")
    {
        options.memory_mb = static_cast<long long>(number);
    }
    else if (key == "usage_lag_ms")
    {
        options.usage_lag_ms = static_cast<long long>(number);
    }
    else
    {
        return false;
    }
    return true;
}

} // namespace

std::optional<server_options> server_options::parse(const std::string& text)
{
    server_options result;
    std::istringstream input(text);
    std::string part;
    while (std::getline(input, part, ','))
    {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos ||
            !set_field(result, part.substr(0, equals), part.substr(equals + 1)))
        {
            return std::nullopt;
        }
    }
    if (result.speed <= 0 || result.slots <= 0 || result.connections <= 0 ||
        result.memory_mb <= 0 || result.port < 0)
    {
        return std::nullopt;
    }
    return result;
}

} // namespace jujubedrum
