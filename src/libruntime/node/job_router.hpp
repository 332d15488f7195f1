#pragma once

#include "dispatch/pool_dispatcher.hpp"
#include "dispatch/route_table.hpp"
#include "metrics_registry.hpp"
#include "node/event_counts.hpp"
#include "node/latency_histogram.hpp"
#include "node/node_settings.hpp"
#include "node/peer_mesh.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Follows the jobs that callers submitted to this instance: chooses the holder
/// of each, sends it again after a holder was lost, and answers it once.
class job_router
{
public:
    using job_callback = std::function<void(const job_result&)>;

    /// The referenced objects outlive the router.
    /// \param known_peers last hello of each linked instance; the router adds
    /// what it sends to their load.
    job_router(const node_settings& values, const route_table& table,
               std::map<std::uint64_t, heartbeat_message>& known_peers,
               peer_mesh& links, pool_dispatcher& local,
               metrics_registry& registry, event_counts& events);

    /// Returns the ticket by which the caller may leave.
    std::uint64_t submit(job_request request, const job_terms& terms,
                         job_callback done);
    /// The caller of the ticket left; its tasks are stopped.
    void on_caller_disconnected(std::uint64_t ticket);
    /// A planned stop began: only jobs that end before it are taken.
    void drain();
    /// Answers what is still open.
    void stop();
    /// Routes jobs that wait for a holder or lost theirs, and answers those
    /// that their callers give up.
    void tick(const instance_view& self);

    /// A holder answered a job.
    /// \param link to the holder; 0: this instance.
    void on_result(std::uint64_t link, const result_message& ended);
    /// The jobs that were sent over the link may run or not.
    void on_link_closed(std::uint64_t link, const instance_view& holder);
    /// Sends jobs of lost holders to others once their runs are gone.
    void resubmit_orphaned_jobs(const instance_view& self);

    [[nodiscard]] std::size_t open() const { return this->open_jobs.size(); }
    void write_metrics(metrics_registry& registry) const;

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
        std::set<std::string> tried_holders; ///< holders that refused it
        std::string required_holder; ///< that may still run it; may be empty
        bool may_have_run = false;   ///< a holder was lost while it had it
    };
    /// A holder whose link broke, and the jobs it had from here.
    struct disconnected_holder
    {
        instance_view instance;
        std::set<std::uint64_t> tickets;
    };

    void route_job(std::uint64_t ticket, open_job& job);
    /// Answers a job that no holder can take now, or lets it wait for one.
    void defer_or_refuse(std::uint64_t ticket, const open_job& job);
    /// Routes the jobs that waited for a holder.
    void retry_unrouted();
    void finish_job(std::uint64_t ticket, const job_result& result);
    /// Answers jobs of lost holders that their callers give up.
    void expire_jobs();
    /// Returns the terms with the time that has passed.
    [[nodiscard]] static job_terms remaining_terms(const open_job& job);
    /// Returns whether a job would end before a planned stop does.
    [[nodiscard]] bool ends_before_stop(const job_request& request,
                                        const job_terms& terms) const;

    const node_settings& settings;
    const route_table& routes;
    std::map<std::uint64_t, heartbeat_message>& peers;
    peer_mesh& mesh;
    pool_dispatcher& dispatcher;
    metrics_registry& metrics;
    event_counts& counts;
    std::map<std::uint64_t, open_job> open_jobs;
    std::uint64_t next_ticket = 1;
    std::set<std::uint64_t> unrouted; ///< open jobs that wait for a holder
    instant last_routed;              ///< when a holder could be chosen last
    std::vector<disconnected_holder> disconnected_holders;
    latency_histogram job_times;
    bool draining = false;
    instant drain_began{0};
};

} // namespace jujubedrum
