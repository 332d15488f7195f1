#pragma once

#include "base/time.hpp"
#include "membership/instance_info.hpp"
#include "membership/peer_digest.hpp"

#include <cstdint>
#include <vector>

namespace jujubedrum
{

/// State that the member table keeps for one other entry instance.
struct peer_record
{
    instance_info info;
    /// Incarnation of the last contact; 0 before the first one.
    std::uint64_t incarnation = 0;
    /// Earlier incarnations, oldest first; bounded, the oldest is dropped.
    std::vector<std::uint64_t> superseded;
    /// Another incarnation was reported and no reply has confirmed it yet.
    bool incarnation_unconfirmed = false;
    /// Newest digest, without its observations and grants.
    peer_digest last_digest;
    peer_state state = peer_state::alive;
    instant suspect_since{0};
    bool owns_slots = false;
    std::uint32_t consecutive_contacts = 0;
    std::uint32_t consecutive_failures = 0;
    /// An observation since the last contact had it suspect or unreachable.
    bool suspected_by_peer = false;
    /// Arrival of the last digest. Proofs of death are based on it.
    instant last_contact{0};
    /// Latest time at which `incarnation` is known to have been running: when
    /// the last answered heartbeat was sent.
    instant confirmed_running_at{0};
    /// Start of the time without contact, on which suspicion is based. Later
    /// than `last_contact` before the first contact, after a new listing, an
    /// observation by another instance or a suspension of this process.
    instant no_contact_since{0};
    instant last_sent{0};
    /// Position in the stride schedule of regular heartbeats; the peer with
    /// the lowest one is next.
    double schedule_position = 0;
    /// Highest heartbeat counter, from its digests and from observations.
    std::uint64_t highest_heartbeat = 0;
    std::uint64_t revision = 0;
    /// Moving mean and mean deviation of the pauses after which the peer
    /// answered again; 0 if it has had none.
    double pause_mean_us = 0;
    double pause_deviation_us = 0;

    /// Updates the estimate of pauses after a contact that followed failed
    /// heartbeats.
    /// \param pause the time without contact before it.
    void record_pause(microseconds pause);

    /// Lowers the estimate of pauses after a contact without failures before
    /// it.
    void record_timely_contact();

    /// Returns the time without contact that is to be tolerated: the mean pause
    /// plus four deviations, at most 6 s; 0 for a peer that has never paused.
    [[nodiscard]] microseconds pause_allowance() const;
};

} // namespace jujubedrum
