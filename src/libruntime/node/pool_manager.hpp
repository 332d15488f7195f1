#pragma once

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

/// What the parts of an instance use of each other.
struct node_components
{
    shared_store& store;
    channel_factory& channels;
    pool_dispatcher& dispatcher;
    peer_mesh& mesh;
    /// Last hello of each linked instance.
    const std::map<std::uint64_t, heartbeat_message>& peers;
    metrics_registry& metrics;
    event_counts& counts;
};

/// Takes pools of backend servers and gives them up, and keeps a session with
/// each server that this instance holds.
class pool_manager : public task_launcher
{
public:
    struct held_pool
    {
        std::uint64_t token = 0;
        instant taken{0};
    };

    /// The parts outlive the manager; they are not used before its first call.
    /// \param on_holds_changed called when pools were taken or given up.
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
    void on_release(const release_message& released);

    /// Follows the list of servers, the sessions and the pools. To be called
    /// several times a second.
    void tick();
    void elect();
    void drain();
    /// Gives up servers on which nothing runs any more, during a planned stop.
    void release_idle_servers();
    void stop();

    /// Returns this instance as others see it.
    [[nodiscard]] instance_view self_view() const;
    [[nodiscard]] const std::map<pool_id, held_pool>& holds() const
    {
        return this->held;
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
        instant last_update{0};               ///< last news of its entry
        std::optional<instant> missing_since; ///< its entry is gone
    };
    /// When the servers of a failure domain wrote their entries.
    struct entry_activity
    {
        instant since{0}; ///< without a long pause until the last one
        instant last{0};
    };
    struct pending_handover
    {
        std::uint64_t link = 0; ///< holder that still uses the server
        instant until{0};
    };

    void on_domain_entry(const std::string& domain);
    /// Returns whether enough is known of the others to take pools.
    [[nodiscard]] bool ready_to_claim();
    /// Follows the list of servers only where it may be needed.
    void update_server_watch();
    /// Returns the servers whose pools may be taken, by failure domain.
    [[nodiscard]] std::map<std::string, std::size_t> claimable_servers() const;
    [[nodiscard]] bool is_clean(const pool_id& pool,
                                const held_pool& hold) const;
    void claim(const pool_id& pool);
    /// Holds a pool unless another instance took it meanwhile.
    void on_fence(const pool_id& pool, std::optional<std::uint64_t> fence);
    void hold(const pool_id& pool, std::uint64_t token);
    void give_up(const pool_id& pool, const std::string& reason);
    void open_session(const server_info& info, std::uint64_t token);
    void close_session(const std::string& id);
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
    std::map<pool_id, held_pool> held;
    std::set<pool_id> claiming;
    std::map<pool_id, instant> claim_not_before; ///< no new claim before
    std::map<pool_id, std::uint64_t> highest_token;
    /// When an instance of each failure domain was last heard of.
    std::map<std::string, instant> last_instance_contact;
    std::map<std::string, entry_activity> domain_activity;
    bool draining = false;
    bool stopped = false;
    bool store_reachable = false;
    instant store_state_since{0}; ///< when it last began to answer
    bool members_read = false;
    bool claims_enabled = false; ///< enough was known of the others once
    instant started;
};

} // namespace jujubedrum
