#include "dispatch/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jujubedrum
{

namespace
{

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return result;
}

} // namespace

bool route_table::apply(route_document document)
{
    if (document.version <= this->current.version)
    {
        return false;
    }
    this->current = std::move(document);
    this->by_host.clear();
    for (std::size_t i = 0; i < this->current.routes.size(); ++i)
    {
        const route& added = this->current.routes[i];
        this->by_host[lower(added.host)].emplace(added.prefix, i);
    }
    return true;
}

std::set<std::uint32_t> route_table::priorities() const
{
    std::set<std::uint32_t> result;
    for (const route& each : this->current.routes)
    {
        result.insert(each.priority);
    }
    return result;
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const std::string name = lower(host.substr(0, host.find(':')));
    const auto at = this->by_host.find(name);
    if (at == this->by_host.end())
    {
        return nullptr;
    }
    // The longest prefix is tried first.
    for (std::size_t length = path.size(); length > 0; --length)
    {
        const auto found = at->second.find(path.substr(0, length));
        if (found != at->second.end())
        {
            return &this->current.routes[found->second];
        }
    }
    return nullptr;
}

} // namespace jujubedrum
