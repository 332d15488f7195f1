#pragma once

#include "placement/backend_server.hpp"
#include "placement/entry_instance.hpp"
#include "placement/slot_map.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Creates servers b0, b1, ... and entry instances e0, e1, ... that are spread
/// over the failure domains d0, d1, ...
struct placement_fixture
{
    static backend_server server(std::size_t index, std::size_t domains,
                                 server_state state = server_state::live)
    {
        placement_reason why;
        return *backend_server::make({"b" + std::to_string(index),
                                      "d" + std::to_string(index % domains),
                                      "r1", "127.0.0.1", 8080, 8, 32768, state},
                                     why);
    }

    static std::vector<backend_server> servers(std::size_t count,
                                               std::size_t domains)
    {
        std::vector<backend_server> list;
        for (std::size_t i = 0; i < count; ++i)
        {
            list.push_back(server(i, domains));
        }
        return list;
    }

    static std::vector<entry_instance> entries(std::size_t count,
                                               std::size_t domains)
    {
        std::vector<entry_instance> list;
        for (std::size_t i = 0; i < count; ++i)
        {
            list.push_back({"e" + std::to_string(i),
                            "d" + std::to_string(i % domains), "r1", 1.0});
        }
        return list;
    }
};

} // namespace jujubedrum
