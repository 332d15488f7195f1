#include "placement/backend_server.hpp"

#include <utility>

namespace jujubedrum
{

backend_server::backend_server(backend_server_fields fields)
    : data(std::move(fields))
{
}

std::optional<backend_server> backend_server::make(backend_server_fields fields,
                                                   placement_reason& why)
{
    const auto refuse = [&](std::string text)
    {
        why = {placement_error::invalid_server, fields.name, std::move(text)};
        return std::nullopt;
    };
    if (fields.name.empty())
    {
        return refuse("a backend server needs a name");
    }
    if (fields.port == 0)
    {
        return refuse("the port of a backend server must not be 0");
    }
    if (fields.slots == 0 || fields.slots > max_slots)
    {
        return refuse("slots must be between 1 and 1024");
    }
    return backend_server(std::move(fields));
}

} // namespace jujubedrum
