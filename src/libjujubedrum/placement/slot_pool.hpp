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
    /// Owned slots lent to peers.
    unsigned lent = 0;
    /// Slots borrowed from peers.
    unsigned borrowed = 0;
    /// Tasks of this instance running on the server.
    unsigned busy = 0;
    /// Minimum number of free slots since the last `reset_min_free`.
    unsigned min_free = 0;
    /// Whether the platform's list names the server as live, and the server has
    /// not reported that it is leaving.
    bool usable = true;
    /// Whether the server reported in an answer that it is leaving.
    bool reported_leaving = false;

    /// Returns the number of slots this instance may use.
    [[nodiscard]] unsigned capacity() const
    {
        const unsigned held = this->owned + this->borrowed;
        return held > this->lent ? held - this->lent : 0;
    }
    /// Returns the number of slots on which a task can start now; 0 if the
    /// server is unusable.
    [[nodiscard]] unsigned free() const
    {
        const unsigned held = this->usable ? this->capacity() : 0;
        return held > this->busy ? held - this->busy : 0;
    }
};

/// Exact account of the slots that an instance owns, lends, borrows and uses.
class slot_pool
{
public:
    /// Replaces the servers and owned slots. A server that is no longer listed
    /// stays in the pool as unusable until its tasks have ended and its lent
    /// and borrowed slots are returned.
    void set_servers(const std::vector<backend_server>& servers,
                     const slot_map& owned);
    /// Stops new tasks on a server that reported that it is leaving, before the
    /// platform's list names it as leaving. The list lags, so one that still
    /// names the server as live is ignored: it is used again only after a list
    /// that does not name it as live, followed by one that does.
    void mark_leaving(std::string_view server);

    /// Counts a task as running; returns false if the server is unknown.
    bool started(std::string_view server);
    /// Counts a task as ended; returns false if none was running.
    bool finished(std::string_view server);

    /// Lends up to `count` free owned slots; returns the number lent.
    unsigned lend(std::string_view server, unsigned count);
    /// Counts lent slots as returned.
    void reclaim(std::string_view server, unsigned count);
    /// Adds slots borrowed from a peer; returns false if the server is unknown.
    bool borrow(std::string_view server, unsigned count);
    /// Removes borrowed slots, whether or not they are busy.
    void drop_borrowed(std::string_view server, unsigned count);

    /// Returns the number of slots on which a task can start now.
    [[nodiscard]] unsigned free() const { return this->free_total; }
    /// Returns the number of slots this instance may use.
    [[nodiscard]] unsigned capacity() const;
    /// Returns the number of owned slots, lent or not.
    [[nodiscard]] unsigned owned() const;
    /// Returns the number of owned slots that are lent.
    [[nodiscard]] unsigned lent() const;
    /// Returns the number of borrowed slots.
    [[nodiscard]] unsigned borrowed() const;
    /// Returns the number of running tasks.
    [[nodiscard]] unsigned busy() const;
    /// Returns a server, or null if it is unknown.
    [[nodiscard]] const pooled_server* find(std::string_view server) const;
    /// Returns all servers by name.
    [[nodiscard]] const std::map<std::string, pooled_server, std::less<>>&
    servers() const
    {
        return this->entries;
    }
    /// Sets `min_free` of every server to its current number of free slots.
    void reset_min_free();

private:
    template <typename Change>
    bool change(std::string_view server, Change apply);

    std::map<std::string, pooled_server, std::less<>> entries;
    unsigned free_total = 0;
};

} // namespace jujubedrum
