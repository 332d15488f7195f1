#include "log_limiter.hpp"

#include <utility>

namespace jujubedrum
{

std::optional<std::uint64_t> log_limiter::count(const std::string& kind,
                                                instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end())
    {
        if (this->kinds.size() >= max_kinds)
        {
            return std::nullopt;
        }
        this->kinds.emplace(kind, state{now, 0});
        return 1;
    }
    state& known = found->second;
    ++known.unlogged;
    if (now - known.last_line < this->interval)
    {
        return std::nullopt;
    }
    known.last_line = now;
    return std::exchange(known.unlogged, 0);
}

} // namespace jujubedrum
