#include "reply_registry.hpp"

#include <utility>

namespace jujubedrum
{

request_token reply_registry::add(deliver_function deliver)
{
    const std::lock_guard lock(this->mutex);
    const request_token token = ++this->last_token;
    this->pending.emplace(token, std::move(deliver));
    return token;
}

void reply_registry::deliver(request_token token, engine_reply reply)
{
    deliver_function function;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pending.find(token);
        if (found == this->pending.end())
        {
            return;
        }
        function = std::move(found->second);
        this->pending.erase(found);
    }
    function(std::move(reply));
}

void reply_registry::remove(request_token token)
{
    const std::lock_guard lock(this->mutex);
    this->pending.erase(token);
}

std::size_t reply_registry::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->pending.size();
}

} // namespace jujubedrum
