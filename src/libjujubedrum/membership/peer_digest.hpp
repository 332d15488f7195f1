#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Phase that an entry instance reports of itself.
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
    /// Heartbeats failed, or no contact within the suspect timeout.
    suspect,
    /// No contact within the unreachable timeout; may still be running.
    unreachable,
    /// Proved to have ended.
    dead,
    /// Shutting down, according to its own digest or to the list.
    leaving
};

/// Latest information of the sender of a digest on another entry instance.
struct peer_observation
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    peer_state state = peer_state::alive;
    /// Configuration revision.
    std::uint64_t revision = 0;

    bool operator==(const peer_observation&) const = default;
};

/// Contents of a heartbeat and of its reply.
struct peer_digest
{
    static constexpr std::size_t max_observations = 8;
    static constexpr std::size_t max_held_grants = 256;

    std::string name;
    std::string domain;
    /// Random value of the process start, not 0.
    std::uint64_t incarnation = 0;
    peer_phase phase = peer_phase::starting;
    /// Counter of the digests that the instance has made.
    std::uint64_t heartbeat = 0;
    /// Configuration revision in force.
    std::uint64_t revision = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t queued_tasks = 0;
    /// Grants that the sender borrowed from the receiver and still holds.
    std::vector<std::uint64_t> held_grants;
    std::vector<peer_observation> observations;

    bool operator==(const peer_digest&) const = default;
};

} // namespace jujubedrum
