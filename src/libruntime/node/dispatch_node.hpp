#pragma once

#include "dispatch/cancelled_jobs.hpp"
#include "dispatch/evacuation_table.hpp"
#include "dispatch/overload_counts.hpp"
#include "dispatch/pool_dispatcher.hpp"
#include "dispatch/result_cache.hpp"
#include "dispatch/route_table.hpp"
#include "metrics_registry.hpp"
#include "node/event_counts.hpp"
#include "node/event_loop.hpp"
#include "node/job_router.hpp"
#include "node/latency_histogram.hpp"
#include "node/node_settings.hpp"
#include "node/peer_mesh.hpp"
#include "node/platform_ports.hpp"
#include "node/pool_manager.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// An instance on the users' platform. It accepts jobs from callers, which its
/// router tracks until they end, and schedules the tasks of jobs sent to the
/// pools that its pool manager holds.
class dispatch_node : private job_listener,
                      private mesh_listener,
                      private store_listener
{
public:
    dispatch_node(event_loop& loop, const node_settings& settings,
                  std::uint64_t boot, shared_store& store,
                  channel_factory& channels, metrics_registry& metrics);
    ~dispatch_node() override;

    /// Starts to listen, to announce this instance and to claim pools. Returns
    /// false if the address for peers cannot be listened on.
    bool start();
    /// Begins a planned stop: hands the pools over to other instances while
    /// open jobs run to completion.
    void drain();
    /// Returns whether no job is open or running and no server is held.
    [[nodiscard]] bool drained() const;
    /// Answers the open jobs as incomplete and closes all links.
    void stop();

    /// Submits a job. `done` is called once, possibly before this returns.
    /// Returns the ticket that identifies the job here.
    std::uint64_t submit(job_request request, const job_terms& terms,
                         job_router::job_callback done);
    /// The caller disconnected before the answer: cancels its job. `done` is
    /// not called any more.
    void on_caller_disconnected(std::uint64_t ticket);
    /// Cancels a job on all instances. Returns whether this one has it.
    bool cancel(const std::string& job);

    [[nodiscard]] const route_table& routes() const { return this->table; }
    /// Returns whether callers can be served: this instance is not draining,
    /// has a configuration, and it or a linked instance can run jobs.
    [[nodiscard]] bool ready() const;
    /// Updates the gauges and counters that are set only when metrics are read.
    void collect_metrics();
    /// Returns the state as a JSON object, for operators.
    [[nodiscard]] std::string dump() const;

private:
    // job_listener
    void job_ended(const job_origin& origin, const job_result& result,
                   const job_report& report) override;
    // mesh_listener
    void on_heartbeat(std::uint64_t link,
                      const heartbeat_message& heartbeat) override;
    void on_message(std::uint64_t link,
                    const dispatch_message& message) override;
    void on_link_closed(std::uint64_t link, const std::string& name,
                        const std::string& reason) override;
    void on_peer_failed(const std::string& name) override;
    [[nodiscard]] std::set<std::uint64_t> links_with_open_jobs() const override;
    [[nodiscard]] std::set<std::uint64_t> links_to_holders() const override;
    // store_listener
    void on_configuration(route_document document) override;
    void on_evacuation(const evacuation& record) override;
    void on_evacuated_domains(const std::set<std::string>& domains,
                              std::uint64_t end) override;
    void on_servers(const std::vector<server_change>& changes) override;
    void on_server_ids(const std::set<std::string>& ids) override;
    void on_members(const std::vector<member_record>& members) override;
    void on_store_state(bool reachable, const std::string& reason) override;

    /// Returns the key of a submission over a link; empty if its peer is not
    /// known.
    [[nodiscard]] std::optional<submission_key>
    key_of(const job_origin& origin) const;
    /// Ends the jobs that were submitted over a closed link. If the same start
    /// of the peer has another link, they go on for a moment, in which it
    /// submits those again that it still waits for.
    void cancel_jobs_of_link(std::uint64_t link,
                             const heartbeat_message& closed_peer);
    /// Sends the result again if the submission repeats one whose job has ended
    /// here. Returns whether it does.
    bool answer_ended_job(std::uint64_t link, const submit_message& submitted);

    /// Remembers a cancel, here or at a peer, and ends the job if it is here.
    /// Returns whether it is.
    bool on_cancel(const std::string& job, bool own);

    void on_pump_timer();
    void on_election_timer();
    /// Logs waiting, displaced, refused and late jobs, and distrusted servers,
    /// while any of them is not 0.
    void on_overload_timer();
    void write_overload_metrics(const dispatch_load& load);
    /// Counts a job of the pools held here that was refused, displaced or late.
    void count_overload(const job_result& result, const job_report& report);
    void announce_self();
    void refresh_heartbeat();
    /// Puts changed evacuations in force and informs the peers.
    /// \param source `store` or the name of a peer, for the log.
    void apply_evacuations(const std::string& source);

    loop_scope loop;
    node_settings settings;
    std::uint64_t boot;
    shared_store& store;
    metrics_registry& metrics;
    event_counts counts;
    latency_histogram queue_times;
    overload_counts held_overload; ///< of the jobs held here
    /// Waiting demand in the last metrics.
    std::map<std::uint32_t, std::uint64_t> waiting_by_priority;
    route_table table;
    /// Last heartbeat by link.
    std::map<std::uint64_t, heartbeat_message> peers;
    evacuation_table evacuations;
    /// Evacuated domains in force; nothing while none are known.
    std::optional<std::set<std::string>> evacuated;
    pool_manager pools;
    pool_dispatcher dispatcher;
    result_cache ended_jobs;
    /// Peers of closed links whose jobs go on until they are submitted again.
    std::map<std::uint64_t, instance_boot> closed_origins;
    cancelled_jobs cancelled;
    peer_mesh mesh;
    job_router router;
    /// `instance_view::server_number` that was last sent at once.
    std::uint64_t sent_server_number = 0;
    bool draining = false;
    bool stopped = false;
};

} // namespace jujubedrum
