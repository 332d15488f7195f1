#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// State that an entry instance reports about itself.
enum class peer_phase
{
    starting,
    ready,
    leaving
};

/// State of an entry instance as another one sees it.
enum class peer_state
{
    alive,
    /// Missed heartbeats.
    suspect,
    /// No contact for a long time; may still be running.
    unreachable,
    /// Proved not to be running any more.
    dead,
    /// Reported by itself or by the list to be stopping.
    leaving
};

/// What the sender of a digest last heard of another entry instance.
struct peer_observation
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    peer_state state = peer_state::alive;
    /// Configuration revision.
    std::uint64_t revision = 0;

    auto operator<=>(const peer_observation&) const = default;
};

/// Contents of a heartbeat, in both directions.
struct peer_digest
{
    static constexpr std::size_t max_observations = 8;
    static constexpr std::size_t max_held_grants = 256;

    std::string name;
    std::string domain;
    /// Random per process start.
    std::uint64_t incarnation = 0;
    peer_phase phase = peer_phase::starting;
    /// Rises with every digest that the instance makes.
    std::uint64_t heartbeat = 0;
    /// Configuration revision in force.
    std::uint64_t revision = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t queued_tasks = 0;
    /// Grants that the sender borrowed from the receiver and still holds.
    std::vector<std::uint64_t> held_grants;
    std::vector<peer_observation> observations;

    auto operator<=>(const peer_digest&) const = default;
};

} // namespace jujubedrum
