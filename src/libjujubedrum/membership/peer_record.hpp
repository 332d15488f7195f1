#pragma once

#include "base/time.hpp"
#include "membership/instance_info.hpp"
#include "membership/peer_digest.hpp"

#include <cstdint>
#include <vector>

namespace jujubedrum
{

/// What the member table keeps of one other entry instance.
struct peer_record
{
    instance_info info;
    /// Last incarnation that was heard; 0 if none.
    std::uint64_t incarnation = 0;
    /// Incarnations that were followed by another one; the oldest is dropped.
    std::vector<std::uint64_t> superseded;
    /// An incoming heartbeat had another incarnation; not confirmed yet.
    bool incarnation_unconfirmed = false;
    peer_digest last_digest;
    peer_state state = peer_state::alive;
    instant suspect_since{0};
    bool owns_slots = false;
    std::uint32_t consecutive_contacts = 0;
    std::uint32_t consecutive_failures = 0;
    bool suspected_by_peer = false;
    /// Arrival of the last digest; proofs use this one.
    instant last_contact{0};
    /// Latest time at which the known incarnation certainly still ran.
    instant confirmed_running_at{0};
    /// Start of the current silence; suspicion uses this one.
    instant no_contact_since{0};
    instant last_sent{0};
    /// Position in the order of calm heartbeats; the lowest is next.
    double schedule_position = 0;
    std::uint64_t highest_heartbeat = 0;
    std::uint64_t revision = 0;
    /// Mean and deviation of the pauses that the peer came back from, in
    /// microseconds.
    double pause_mean_us = 0;
    double pause_deviation_us = 0;

    /// Takes in a contact after failed heartbeats.
    /// \param pause the silence before the contact.
    void record_pause(microseconds pause);

    /// Takes in a contact without failures before it.
    void record_timely_contact();

    /// Returns the silence that is usual for this peer, with a margin; at most
    /// 6 s. It is 0 for a peer that never pauses.
    [[nodiscard]] microseconds pause_allowance() const;
};

} // namespace jujubedrum
