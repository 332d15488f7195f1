#pragma once

#include "dispatch/pool_dispatcher.hpp"
#include "dispatch/pool_election.hpp"
#include "dispatch/route_table.hpp"
#include "metrics_registry.hpp"
#include "node/event_loop.hpp"
#include "node/latency_histogram.hpp"
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

/// An instance on the users' platform: accepts jobs of callers, chooses the
/// holder that runs each, and holds pools of backend servers itself.
class dispatch_node : private task_launcher,
                      private job_listener,
                      private mesh_listener,
                      private store_listener
{
public:
    using job_callback = std::function<void(const job_result&)>;

    dispatch_node(event_loop& loop, const node_settings& settings,
                  std::uint64_t boot, shared_store& store,
                  channel_factory& channels, metrics_registry& metrics);
    ~dispatch_node() override;

    /// Returns false if the peers' address cannot be used.
    bool start();
    /// Hands the pools over; open jobs go on to their end.
    void drain();
    [[nodiscard]] bool drained() const;
    /// Answers what is still open and breaks off all links.
    void stop();

    /// Returns the ticket by which the caller may leave.
    std::uint64_t submit(job_request request, const job_terms& terms,
                         job_callback done);
    /// The caller of the ticket left; its tasks are stopped.
    void leave(std::uint64_t ticket);
    /// Cancels a job wherever it runs. Returns whether it is known here.
    bool cancel(const std::string& job);

    [[nodiscard]] const route_table& routes() const { return this->table; }
    /// Returns whether callers can be served here.
    [[nodiscard]] bool ready() const;
    /// Sets the gauges and counters that are not kept up to date.
    void collect_metrics();
    /// Returns the state as JSON, for operators.
    [[nodiscard]] std::string dump() const;

private:
    struct open_job
    {
        job_request request;
        job_terms terms;
        job_callback done;
        instant accepted{0};
        std::string holder;            ///< that was asked last
        milliseconds expected_wait{0}; ///< there, when it was chosen
        milliseconds load_age{0};      ///< of what that rests on
        std::uint64_t link = 0;        ///< holder; 0: this instance
        bool local = false;
        std::set<std::string> tried; ///< holders that refused it
        std::string only_holder;     ///< that may still run it; may be empty
        bool may_have_run = false;   ///< a holder was lost while it had it
    };
    struct known_server
    {
        server_info info;
        instant seen{0};                      ///< last news of its entry
        std::optional<instant> missing_since; ///< its entry is gone
    };
    /// A holder whose link broke, and the jobs it had from here.
    struct lost_holder
    {
        instance_view instance;
        std::set<std::uint64_t> tickets;
    };
    struct held_pool
    {
        std::uint64_t token = 0;
        instant taken{0};
    };
    struct awaited_server
    {
        std::uint64_t link = 0; ///< holder that still uses the server
        instant until{0};
    };

    // task_launcher
    void start(const std::string& server, const run_id& run,
               const std::string& payload) override;
    void stop(const std::string& server, const run_id& run) override;
    void look(const std::string& server) override;
    // job_listener
    void job_ended(const job_origin& origin, const job_result& result,
                   const job_report& report) override;
    // mesh_listener
    void on_hello(std::uint64_t link, const hello_message& hello) override;
    void on_message(std::uint64_t link,
                    const dispatch_message& message) override;
    void on_link_lost(std::uint64_t link, const std::string& name,
                      const std::string& reason) override;
    void on_peer_gone(const std::string& name) override;
    // store_listener
    void on_configuration(route_document document) override;
    void on_servers(const std::vector<server_change>& changes) override;
    void on_server_ids(const std::set<std::string>& ids) override;
    void on_members(const std::vector<member_record>& members) override;
    void on_store(bool reachable, const std::string& reason) override;

    void route_job(std::uint64_t ticket, open_job& job);
    /// Answers a job that no holder can take now, or lets it wait for one.
    void await_holder(std::uint64_t ticket, const open_job& job);
    /// Routes the jobs that waited for a holder.
    void route_waiting();
    void finish_job(std::uint64_t ticket, const job_result& result);
    void every_pump();
    void every_election();
    void announce_self();
    /// Returns whether enough is known of the others to take pools.
    [[nodiscard]] bool settled() const;
    /// Follows the list of servers only where it may be needed.
    void choose_server_watch();
    void elect();
    /// Returns the servers whose pools may be taken, by failure domain.
    [[nodiscard]] std::map<std::string, std::size_t> electable_servers() const;
    /// Sends jobs of lost holders to others once their runs are gone.
    void resubmit_orphans();
    /// Answers jobs of lost holders that their callers give up.
    void expire_jobs();
    /// Returns the terms with the time that has passed.
    [[nodiscard]] static job_terms terms_now(const open_job& job);
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
    void release_idle();
    void refresh_hello();
    [[nodiscard]] instance_view self_view() const;
    /// Returns whether a job would end before a planned stop does.
    [[nodiscard]] bool ends_in_time(const job_request& request,
                                    const job_terms& terms) const;

    loop_scope loop;
    node_settings settings;
    std::uint64_t boot;
    shared_store& store;
    channel_factory& channels;
    metrics_registry& metrics;
    pool_dispatcher dispatcher;
    peer_mesh mesh;
    route_table table;
    std::map<std::uint64_t, open_job> open_jobs;
    std::uint64_t next_ticket = 1;
    std::set<std::uint64_t> unrouted; ///< open jobs that wait for a holder
    instant last_routed;              ///< when a holder could be chosen last
    /// Start verdicts other than accepted, refusals, takeovers and the like.
    std::map<std::string, std::uint64_t> event_counts;
    latency_histogram job_times;
    latency_histogram queue_times;
    std::map<std::string, known_server> servers;
    std::map<std::string, std::shared_ptr<server_session>> sessions;
    std::map<std::string, awaited_server> awaited;
    std::map<pool_id, held_pool> held;
    std::vector<lost_holder> lost_holders;
    std::set<pool_id> claiming;
    std::map<pool_id, instant> lost_until; ///< no new claim before
    std::map<pool_id, std::uint64_t> highest_token;
    /// When an instance of each failure domain was last heard of.
    std::map<std::string, instant> domain_heard;
    std::map<std::uint64_t, hello_message> peers; ///< last hello by link
    bool draining = false;
    instant drain_began{0};
    bool stopped = false;
    bool store_reachable = false;
    instant store_since{0}; ///< when it last began to answer
    bool members_read = false;
    instant started;
};

} // namespace jujubedrum
