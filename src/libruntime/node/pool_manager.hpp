#pragma once

#include "dispatch/fence_reserve.hpp"
#include "dispatch/pool_dispatcher.hpp"
#include "dispatch/pool_election.hpp"
#include "metrics_registry.hpp"
#include "node/event_counts.hpp"
#include "node/event_loop.hpp"
#include "node/node_settings.hpp"
#include "node/peer_mesh.hpp"
#include "node/platform_ports.hpp"
#include "node/server_session.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// The components of an instance that the pool manager uses.
struct node_components
{
    shared_store& store;
    channel_factory& channels;
    pool_dispatcher& dispatcher;
    peer_mesh& mesh;
    /// Last heartbeat by link.
    const std::map<std::uint64_t, heartbeat_message>& peers;
    metrics_registry& metrics;
    event_counts& counts;
};

/// Claims pools of backend servers, gives them up, and keeps a session with
/// each server of the pools that this instance holds.
class pool_manager : public task_launcher
{
public:
    struct held_pool
    {
        std::uint64_t token = 0;
        instant taken{0};
        bool logged_clean = false; ///< state at its last log line
        /// For new sessions: above those of the sessions closed so far.
        std::uint64_t session_token = 0;
    };

    /// The components outlive the manager. The constructor does not use them,
    /// so they may be constructed later.
    /// \param on_holds_changed called after a pool was taken or given up.
    pool_manager(event_loop& events, const node_settings& values,
                 std::uint64_t own_boot, const node_components& components,
                 std::function<void()> on_holds_changed);

    // task_launcher
    void start(const std::string& server, const run_id& run,
               const std::string& payload) override;
    void stop(const std::string& server, const run_id& run) override;
    void poll(const std::string& server) override;

    void on_servers(const std::vector<server_change>& changes);
    void on_server_ids(const std::set<std::string>& ids);
    void on_members_read();
    void on_store_state(bool reachable, const std::string& reason);
    /// \param added whether the link is new.
    void on_heartbeat(const instance_view& peer, bool added);
    void on_link_closed(std::uint64_t link);
    void on_release(std::uint64_t link, const release_message& released);

    /// Updates the watch of the server list, the sessions and the pools. To be
    /// called several times a second.
    void tick();
    /// Gives up and claims pools according to `pool_election`.
    void elect();
    /// Begins a planned stop: no further pools or servers are taken, and those
    /// not in use are released to the next holder.
    void drain();
    /// Releases the servers without runs to the next holder, during a planned
    /// stop. Has no effect while tasks wait.
    void release_idle_servers();
    void stop();

    /// Returns the description of this instance for heartbeats.
    [[nodiscard]] instance_view self_view() const;
    [[nodiscard]] const std::map<pool_id, held_pool>& holds() const
    {
        return this->held;
    }
    /// Returns the number of the last session with a server, from 1 on.
    [[nodiscard]] std::uint64_t server_number() const
    {
        return this->last_server_number;
    }
    [[nodiscard]] std::size_t servers_known() const
    {
        return this->servers.size();
    }
    [[nodiscard]] std::size_t servers_held() const
    {
        return this->sessions.size();
    }
    [[nodiscard]] std::size_t servers_reachable() const;
    [[nodiscard]] bool is_store_reachable() const
    {
        return this->store_reachable;
    }

private:
    struct known_server
    {
        server_info info;
        instant last_update{0}; ///< when its entry was last received
        instant known_since{0}; ///< since its entry came, or came back
        /// When its entry was found removed; empty while there is one.
        std::optional<instant> missing_since;
        /// Until then a stopping holder may have runs on it.
        instant left_until{0};
        bool unreadable = false; ///< its last entry
    };
    /// When entries of the servers of a failure domain were received.
    struct entry_activity
    {
        instant since{0}; ///< no gap above `max_entry_age` from here on
        instant last{0};
    };
    /// A server left to instances that are stopping and may have runs on it.
    struct pending_handover
    {
        std::set<std::uint64_t> links; ///< to these instances
        instant until{0};
    };

    /// Records that the server of the change has no usable entry.
    void on_missing_entry(const server_change& change);
    /// Starts no further tasks on the server; its runs are kept.
    void stop_new_tasks(const server_info& server);
    void on_domain_entry(const std::string& domain);
    /// Logs the held pools that have become clean, or no longer are.
    void log_clean_pools();
    /// Removes a stopping instance from the handover of a server. Returns
    /// whether that was the last one.
    bool end_handover(std::uint64_t link, const std::string& server);
    /// Returns whether enough is known of the other instances to claim pools.
    /// Remains true from then on.
    [[nodiscard]] bool ready_to_claim();
    /// Watches the list of servers only while this instance may need it.
    void update_server_watch();
    /// Returns the number of servers by failure domain, for the domains whose
    /// pools this instance may claim.
    [[nodiscard]] std::map<std::string, std::size_t> claimable_servers() const;
    /// Returns the hashes of the servers of a pool that this instance has a
    /// session with, in ascending order.
    [[nodiscard]] std::vector<std::uint64_t>
    listed_servers(const pool_id& pool) const;
    /// Returns whether a successor may not know the server.
    [[nodiscard]] bool is_unlisted(const std::string& server) const;
    /// Returns whether all servers of the pool were taken over, so that no run
    /// of an earlier holder remains on them.
    [[nodiscard]] bool is_clean(const pool_id& pool) const;
    /// Gives up one of these pools if nothing runs on its servers, so that the
    /// instance that should hold it takes it.
    void hand_over_idle_pool(const std::vector<pool_id>& surplus);
    void claim(const pool_id& pool);
    /// Takes a claimed pool unless another instance has taken it meanwhile.
    /// \param fence number from the store; empty: it did not answer.
    void on_fence(const pool_id& pool, std::optional<std::uint64_t> fence);
    /// Takes a number from the store for tokens of pools that are taken while
    /// it does not answer, unless the reserve is above all known tokens.
    void update_reserve();
    void hold(const pool_id& pool, std::uint64_t token);
    /// Returns the links to the stopping instances that held the pool and have
    /// not released the server.
    [[nodiscard]] std::set<std::uint64_t> users_of(const std::string& server,
                                                   const pool_id& pool) const;
    void give_up(const pool_id& pool, const std::string& reason);
    void open_session(const server_info& info, std::uint64_t token);
    void close_session(const std::string& id);
    /// Opens sessions with servers of held pools, and removes servers whose
    /// entries are missing for too long.
    void update_sessions();

    loop_scope loop;
    const node_settings& settings;
    std::uint64_t boot;
    shared_store& store;
    channel_factory& channels;
    pool_dispatcher& dispatcher;
    peer_mesh& mesh;
    const std::map<std::uint64_t, heartbeat_message>& peers;
    metrics_registry& metrics;
    event_counts& counts;
    std::function<void()> holds_changed;
    std::map<std::string, known_server> servers;
    std::map<std::string, std::shared_ptr<server_session>> sessions;
    std::map<std::string, pending_handover> pending_handovers;
    /// Servers that stopping instances have released, by link. A release may
    /// arrive before the pool is taken.
    std::map<std::uint64_t, std::set<std::string>> released_servers;
    std::map<pool_id, held_pool> held;
    std::set<pool_id> claiming;
    std::map<pool_id, instant> claim_not_before; ///< after it was given up
    std::map<pool_id, std::uint64_t> highest_token;
    fence_reserve reserve;
    bool reserving = false; ///< the store was asked for a number to keep
    bool watching = false;  ///< the list of servers
    /// Pools that could not be taken for want of a token; each is logged once.
    std::set<pool_id> without_token;
    /// When an instance of each failure domain was last alive.
    std::map<std::string, instant> last_instance_contact;
    std::map<std::string, entry_activity> domain_activity;
    /// Begins at 1, since 0 stands for a version that does not count them.
    std::uint64_t last_server_number = 1;
    bool draining = false;
    bool stopped = false;
    bool store_reachable = false;
    instant store_state_since{0}; ///< when reachability last changed
    bool members_read = false;
    bool claims_enabled = false; ///< result of `ready_to_claim`, once true
    instant started;
    instant last_hand_over{0};
};

} // namespace jujubedrum
