#pragma once

#include "placement/backend_server.hpp"
#include "placement/slot_map.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Slots of one server that this instance may use.
struct pooled_server
{
    backend_server server;
    unsigned owned = 0;
    /// Owned slots that peers use.
    unsigned lent = 0;
    /// Slots of peers that this instance uses.
    unsigned borrowed = 0;
    /// Tasks of this instance on the server.
    unsigned busy = 0;
    /// Smallest number of free slots since the last `reset_min_free`.
    unsigned min_free = 0;
    /// Whether the platform's list names the server as live, and no answer
    /// said that it is leaving.
    bool usable = true;
    /// Whether an answer of the server said that it is leaving.
    bool reported_leaving = false;

    /// Returns the number of slots this instance may use.
    [[nodiscard]] unsigned capacity() const
    {
        const unsigned held = this->owned + this->borrowed;
        return held > this->lent ? held - this->lent : 0;
    }
    /// Returns the number of slots a task can start on now.
    [[nodiscard]] unsigned free() const
    {
        const unsigned held = this->usable ? this->capacity() : 0;
        return held > this->busy ? held - this->busy : 0;
    }
};

/// Exact account of the slots an instance owns, lends, borrows and uses.
class slot_pool
{
public:
    /// Replaces the servers and owned slots. A server that disappeared stays,
    /// unusable, until its tasks have ended and its slots are returned.
    void set_servers(const std::vector<backend_server>& servers,
                     const slot_map& owned);
    /// Stops new tasks on a server that answered that it is leaving, before
    /// the platform's list says so. It is used again only after a list that
    /// does not name it as live, followed by one that does; the list lags, so
    /// one that still names it as live proves nothing.
    void mark_leaving(std::string_view server);

    /// Counts a task as running; false if the server is unknown.
    bool started(std::string_view server);
    /// Counts a task as ended; false if none was running.
    bool finished(std::string_view server);

    /// Moves free owned slots to a peer; returns how many were free.
    unsigned lend(std::string_view server, unsigned count);
    /// Takes lent slots back.
    void reclaim(std::string_view server, unsigned count);
    /// Adds slots borrowed from a peer; false if the server is unknown.
    bool borrow(std::string_view server, unsigned count);
    /// Removes borrowed slots, whether or not they are busy.
    void drop_borrowed(std::string_view server, unsigned count);

    /// Returns the number of slots a task can start on now.
    [[nodiscard]] unsigned free() const { return this->free_total; }
    /// Returns the number of slots this instance may use.
    [[nodiscard]] unsigned capacity() const;
    /// Returns the number of owned slots, lent or not.
    [[nodiscard]] unsigned owned() const;
    /// Returns the number of owned slots that are lent.
    [[nodiscard]] unsigned lent() const;
    /// Returns the number of borrowed slots.
    [[nodiscard]] unsigned borrowed() const;
    /// Returns the number of tasks running.
    [[nodiscard]] unsigned busy() const;
    /// Returns a server, or null if unknown.
    [[nodiscard]] const pooled_server* find(std::string_view server) const;
    /// Returns all servers by name.
    [[nodiscard]] const std::map<std::string, pooled_server, std::less<>>&
    servers() const
    {
        return this->entries;
    }
    /// Restarts the observation of the smallest number of free slots.
    void reset_min_free();

private:
    template <typename Change>
    bool change(std::string_view server, Change apply);

    std::map<std::string, pooled_server, std::less<>> entries;
    unsigned free_total = 0;
};

} // namespace jujubedrum
