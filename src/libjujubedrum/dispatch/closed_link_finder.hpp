#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// The links that an instance has open to a peer, by the numbers that it gave
/// them, in ascending order as it opened or accepted them.
struct peer_link_state
{
    std::uint64_t link = 0; ///< that carries this state
    std::vector<std::uint64_t> open_links;
    std::uint64_t newest_link = 0; ///< the highest number given so far

    /// Returns whether the sender has closed a link: it is not open, and not
    /// younger than this state.
    [[nodiscard]] bool has_closed(std::uint64_t number) const;
    bool operator==(const peer_link_state&) const = default;
};

/// One start of an instance.
struct instance_boot
{
    std::string name;
    std::uint64_t boot = 0;

    auto operator<=>(const instance_boot&) const = default;
};

/// Finds the links that their peers have closed, before the end of the
/// connection is read. What arrives over such a link is outdated: the peer has
/// given up what it sent there, and may have sent it elsewhere since.
class closed_link_finder
{
public:
    /// How long the last state of a peer is kept once none of its links is
    /// open. Bytes that arrive later belong to a connection that has ended.
    static constexpr seconds retention_time{30};

    /// Records the state that arrived over a link. Returns the links that the
    /// peer has closed, possibly including this one.
    std::vector<std::uint64_t> update(std::uint64_t link,
                                      const instance_boot& peer,
                                      const peer_link_state& state,
                                      instant now);
    void remove_link(std::uint64_t link, instant now);

private:
    struct known_link
    {
        instance_boot peer;
        std::uint64_t number = 0; ///< that the peer gave it
    };
    struct last_state
    {
        peer_link_state state;
        std::size_t open_links = 0; ///< here, from the peer
        instant unlinked_since{0};  ///< while there is none
    };

    void remove_expired(instant now);

    std::map<std::uint64_t, known_link> links;
    std::map<instance_boot, last_state> states;
};

} // namespace jujubedrum
