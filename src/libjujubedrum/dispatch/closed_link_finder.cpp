#include "dispatch/closed_link_finder.hpp"

#include <algorithm>
#include <tuple>

namespace jujubedrum
{

namespace
{

/// Returns whether `a` was sent after `b`. Between two states with the same
/// newest link, links can only have been closed.
bool is_later(const peer_link_state& a, const peer_link_state& b)
{
    return std::make_tuple(a.newest_link, b.open_links.size()) >
           std::make_tuple(b.newest_link, a.open_links.size());
}

} // namespace

bool peer_link_state::has_closed(std::uint64_t number) const
{
    return number <= this->newest_link &&
           std::find(this->open_links.begin(), this->open_links.end(),
                     number) == this->open_links.end();
}

std::vector<std::uint64_t>
closed_link_finder::update(std::uint64_t link, const instance_boot& peer,
                           const peer_link_state& state, instant now)
{
    this->remove_expired(now);
    last_state& last = this->states[peer];
    if (this->links.insert_or_assign(link, known_link{peer, state.link}).second)
    {
        ++last.open_links;
    }
    if (is_later(state, last.state))
    {
        last.state = state;
    }
    std::vector<std::uint64_t> closed;
    for (const auto& [number, known] : this->links)
    {
        if (known.peer == peer && last.state.has_closed(known.number))
        {
            closed.push_back(number);
        }
    }
    return closed;
}

void closed_link_finder::remove_link(std::uint64_t link, instant now)
{
    const auto at = this->links.find(link);
    if (at == this->links.end())
    {
        return;
    }
    last_state& last = this->states.at(at->second.peer);
    --last.open_links;
    last.unlinked_since = now;
    this->links.erase(at);
}

void closed_link_finder::remove_expired(instant now)
{
    std::erase_if(this->states,
                  [now](const auto& entry)
                  {
                      const last_state& last = entry.second;
                      return last.open_links == 0 &&
                             now - last.unlinked_since > retention_time;
                  });
}

} // namespace jujubedrum
