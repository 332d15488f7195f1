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
struct node_parts
{
    shared_store& store;
    channel_factory& channels;
    pool_dispatcher& dispatcher;
    peer_mesh& mesh;
    /// Last hello of each linked instance.
    const std::map<std::uint64_t, hello_message>& peers;
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
                 std::uint64_t life, const node_parts& others,
                 std::function<void()> on_holds_changed);

    // task_launcher
    void start(const std::string& server, const run_id& run,
               const std::string& payload) override;
    void stop(const std::string& server, const run_id& run) override;
    void poll(const std::string& server) override;

    void on_servers(const std::vector<server_change>& changes);
    void on_server_ids(const std::set<std::string>& ids);
    void on_members_read();
    void on_store(bool reachable, const std::string& reason);
    /// \param added whether the link is new.
    void on_hello(const instance_view& peer, bool added);
    void on_link_lost(std::uint64_t link);
    void on_release(const release_message& released);

    /// Follows the list of servers, the sessions and the pools. To be called
    /// several times a second.
    void tick();
    void elect();
    void drain();
    /// Gives up servers on which nothing runs any more, during a planned stop.
    void release_idle();
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
        instant seen{0};                      ///< last news of its entry
        std::optional<instant> missing_since; ///< its entry is gone
    };
    /// When the servers of a failure domain wrote their entries.
    struct entry_news
    {
        instant since{0}; ///< without a long pause until the last one
        instant last{0};
    };
    struct awaited_server
    {
        std::uint64_t link = 0; ///< holder that still uses the server
        instant until{0};
    };

    void on_domain_news(const std::string& domain);
    /// Returns whether enough is known of the others to take pools.
    [[nodiscard]] bool settled();
    /// Follows the list of servers only where it may be needed.
    void choose_server_watch();
    /// Returns the servers whose pools may be taken, by failure domain.
    [[nodiscard]] std::map<std::string, std::size_t> electable_servers() const;
    [[nodiscard]] bool is_clean(const pool_id& pool,
                                const held_pool& hold) const;
    void claim(const pool_id& pool);
    /// Holds a pool unless another instance took it meanwhile.
    void on_fence(const pool_id& pool, std::optional<std::uint64_t> fence);
    void hold(const pool_id& pool, std::uint64_t token);
    void give_up(const pool_id& pool, const std::string& reason);
    void hold_server(const server_info& info, std::uint64_t token);
    void drop_server(const std::string& id);
    void check_servers();

    loop_scope loop;
    const node_settings& settings;
    std::uint64_t boot;
    shared_store& store;
    channel_factory& channels;
    pool_dispatcher& dispatcher;
    peer_mesh& mesh;
    const std::map<std::uint64_t, hello_message>& peers;
    metrics_registry& metrics;
    event_counts& counts;
    std::function<void()> holds_changed;
    std::map<std::string, known_server> servers;
    std::map<std::string, std::shared_ptr<server_session>> sessions;
    std::map<std::string, awaited_server> awaited;
    std::map<pool_id, held_pool> held;
    std::set<pool_id> claiming;
    std::map<pool_id, instant> lost_until; ///< no new claim before
    std::map<pool_id, std::uint64_t> highest_token;
    /// When an instance of each failure domain was last heard of.
    std::map<std::string, instant> domain_heard;
    std::map<std::string, entry_news> domain_news;
    bool draining = false;
    bool stopped = false;
    bool store_reachable = false;
    instant store_since{0}; ///< when it last began to answer
    bool members_read = false;
    bool begun = false; ///< enough was known of the others once
    instant started;
};

} // namespace jujubedrum
