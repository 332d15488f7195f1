#pragma once

#include "base/time.hpp"
#include "dispatch/caller_limits.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace jujubedrum
{

/// What a connection of a caller waits for.
enum class caller_phase
{
    idle,      ///< the first byte of a request
    reading,   ///< the rest of a request
    serving,   ///< the answer of the program
    answering, ///< the caller, to read the answer
};

/// Decides which connections of callers are closed and which requests are
/// refused, so that the memory they hold and their number stay below limits.
/// Handles floods of large, slow or unread requests: the connection that holds
/// the most memory for the longest time is closed first. Open jobs are not
/// closed for memory; instead a part of the budget is kept from them.
class caller_budget
{
public:
    using connection_id = std::uint64_t;

    /// Memory of a connection without its buffers.
    static constexpr std::size_t connection_bytes = 2048;
    /// Memory of a parsed header for each byte of it. The shortest field (4
    /// bytes) takes a node of 64 bytes.
    static constexpr std::size_t header_factor = 16;

    /// Returns an upper estimate of the memory of an open job.
    /// \param body_bytes size of the request body. Its steps, tasks and texts
    /// are held by the router and the dispatcher.
    [[nodiscard]] static std::size_t job_bytes(std::size_t body_bytes);

    void set_limits(const caller_limits& changed) { this->limits = changed; }

    void add(connection_id id, instant now);
    void remove(connection_id id);
    /// Sets what the connection waits for and the memory that it holds.
    void update(connection_id id, caller_phase phase, std::size_t bytes,
                instant now);
    /// Returns whether a job of this size may be opened. Without other open
    /// jobs, any size may.
    [[nodiscard]] bool admits(std::size_t bytes) const;
    /// Returns the connection to close next while the memory is above the
    /// limit, or nothing.
    [[nodiscard]] std::optional<connection_id> memory_victim(instant now) const;
    /// Returns whether a further connection may be added.
    [[nodiscard]] bool has_free_connection() const
    {
        return this->limits.connections == 0 ||
               this->connections.size() < this->limits.connections;
    }
    /// Returns the connection that is idle for the longest time, or nothing.
    [[nodiscard]] std::optional<connection_id> idle_victim() const;
    [[nodiscard]] std::size_t total_bytes() const { return this->total; }
    [[nodiscard]] std::size_t size() const { return this->connections.size(); }

private:
    struct connection
    {
        caller_phase phase = caller_phase::idle;
        std::size_t bytes = connection_bytes;
        /// When the phase began. Bytes that arrive are no progress: a flood
        /// sends them without end.
        instant since{0};
    };

    caller_limits limits;
    std::map<connection_id, connection> connections;
    std::size_t total = 0;
    std::size_t serving = 0; ///< connections with an open request
};

} // namespace jujubedrum
