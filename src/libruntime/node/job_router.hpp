#pragma once

#include "dispatch/holder_choice.hpp"
#include "dispatch/overload_counts.hpp"
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
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Tracks the jobs that callers submitted to this instance. It chooses a holder
/// for each job, submits the job again if the link to that holder closes, and
/// answers each job once.
class job_router
{
public:
    using job_callback = std::function<void(const job_result&)>;

    /// The referenced objects outlive the router.
    /// \param known_peers last heartbeat by link, with the last load.
    /// \param seed of the choice among about equal holders.
    job_router(const node_settings& values, std::uint64_t seed,
               const route_table& table,
               std::map<std::uint64_t, heartbeat_message>& known_peers,
               peer_mesh& links, pool_dispatcher& local,
               metrics_registry& registry, event_counts& events);

    /// Routes a job. If it is open already, it stays with its holder, and the
    /// caller's earlier attempt is answered as incomplete. `done` is called
    /// once, possibly before this returns. Returns the ticket that identifies
    /// the job here.
    std::uint64_t submit(job_request request, const job_terms& terms,
                         job_callback done);
    /// The caller disconnected before the answer: cancels its job. `done` is
    /// not called any more.
    void on_caller_disconnected(std::uint64_t ticket);
    /// Answers an open job with this result, so that it is not submitted again.
    /// Returns whether there is one.
    bool cancel(const std::string& job, const job_result& result);
    /// Begins a planned stop: only jobs that are expected to end before it are
    /// accepted.
    void drain();
    /// Answers the open jobs as incomplete.
    void stop();
    /// Routes jobs that wait for a holder or whose holder disconnected, and
    /// answers the latter when their time is over.
    void tick(const instance_view& self);

    /// A load of the holder arrived with a heartbeat or a result.
    void on_load(std::uint64_t link);
    /// A holder answered a job. If it refused, another holder may be tried.
    /// \param link to the holder; 0: this instance.
    void on_result(std::uint64_t link, const result_message& ended);
    /// The link to a holder closed. Jobs sent over it may run or not, so they
    /// are kept until `resubmit_orphaned_jobs` can route them.
    void on_link_closed(std::uint64_t link, const instance_view& holder);
    /// Routes jobs of disconnected holders again, where `find_basis` finds a
    /// reason.
    void resubmit_orphaned_jobs(const instance_view& self);

    /// Returns the links to holders of open jobs.
    [[nodiscard]] std::set<std::uint64_t> links_with_open_jobs() const;
    [[nodiscard]] std::size_t open() const { return this->open_jobs.size(); }
    /// Returns the refused, displaced and late jobs of callers.
    [[nodiscard]] overload_counts& overload() { return this->shed_jobs; }
    /// Returns the number of jobs that wait for a holder.
    [[nodiscard]] std::size_t waiting() const { return this->unrouted.size(); }
    void write_metrics(metrics_registry& registry) const;

private:
    struct open_job
    {
        job_request request;
        job_terms terms;
        job_callback done;
        holder_request measured; ///< at acceptance
        instant accepted{0};
        std::string holder;            ///< that the job was last sent to
        milliseconds expected_wait{0}; ///< estimate when the holder was chosen
        milliseconds load_age{0}; ///< age of the load it was estimated from
        std::uint64_t link = 0;   ///< holder; 0: this instance
        bool local = false;
        std::set<std::string> tried_holders; ///< holders that it was sent to
        instant sent{0};                     ///< to `holder`
        /// Holders that refused it, other than after a recall.
        std::size_t refusals = 0;
        /// A recall was sent. Each job is recalled at most once.
        bool recalled = false;
        /// The last refusal or return by a holder.
        std::optional<job_result> last_refusal;
        /// A holder disconnected with it, or handed it back.
        bool may_have_run = false;
        /// A text of it has a U+0000, where holders of earlier versions cut it.
        bool contains_nul = false;
        /// The holder may still read the submission that was sent over a closed
        /// link, and start the job after it has refused the next one.
        bool may_be_read_late = false;
    };
    /// A holder whose link closed, and the open jobs that were sent to it.
    struct disconnected_holder
    {
        std::uint64_t link = 0;
        instance_view instance;
        std::set<std::uint64_t> tickets;
        instant since{0}; ///< when the link closed
        /// When it was first seen to have restarted.
        std::optional<instant> restarted;
    };
    /// Why no second run of a disconnected holder's job can overlap the first.
    enum class resubmission_basis
    {
        rejoined,     ///< the holder reconnected, and gets the job again
        pools_clean,  ///< successors took all its servers over
        leases_ended, ///< the holder has restarted, and its leases have ended
    };

    /// Answers a job whose caller no longer waits. Returns whether it does.
    bool answer_if_out_of_time(std::uint64_t ticket, const open_job& job);
    /// Sends a job to the best holder. A job whose caller no longer waits is
    /// answered instead.
    void route_job(std::uint64_t ticket, open_job& job);
    void send_to_holder(std::uint64_t ticket, const open_job& job);
    /// Returns the responsive holders with their loads.
    [[nodiscard]] std::vector<holder_view> responsive_holders() const;
    /// Returns those of them that can take the job as it is.
    [[nodiscard]] std::vector<holder_view>
    suitable_holders(const open_job& job) const;
    [[nodiscard]] static holder_request measure(const job_request& request,
                                                const job_terms& terms);
    [[nodiscard]] static holder_request request_of(const open_job& job);
    /// Returns the time since the last load of the holder arrived.
    [[nodiscard]] milliseconds load_age(std::uint64_t link) const;
    /// Recalls jobs that wait where they would be late while another holder has
    /// room. They are routed again when their holder has given them back.
    void recall_late_jobs();
    void recall_job(std::uint64_t ticket, open_job& job);
    /// Continues an open job for the caller's next attempt, under a new ticket.
    void continue_job(std::uint64_t earlier, std::uint64_t ticket,
                      const job_terms& terms, job_callback done);
    /// Returns whether a link to a later boot of the holder is open.
    [[nodiscard]] bool
    has_restarted(const disconnected_holder& disconnected) const;
    /// Returns why the jobs of a disconnected holder may be routed again; empty
    /// while runs of them may remain.
    [[nodiscard]] std::optional<resubmission_basis>
    find_basis(disconnected_holder& disconnected,
               const std::vector<instance_view>& instances) const;
    void resubmit(const disconnected_holder& disconnected,
                  resubmission_basis basis);
    /// Sends a job to the boot of its holder that may still run it, whatever
    /// capacity that has.
    void return_to_holder(std::uint64_t ticket, open_job& job,
                          const disconnected_holder& disconnected);
    [[nodiscard]] static const char* basis_name(resubmission_basis basis);
    /// Refuses a job that no holder can take now, or lets it wait if a holder
    /// is expected in time.
    void defer_or_refuse(std::uint64_t ticket, const open_job& job,
                         no_holder_reason reason);
    /// Tries again to route the jobs that wait for a holder.
    void retry_unrouted();
    void finish_job(std::uint64_t ticket, const job_result& result);
    /// Counts a job that was refused, displaced or late.
    void count_overload(const open_job& job, const job_result& result,
                        milliseconds total);
    /// Answers jobs of disconnected holders whose time is over as incomplete.
    void expire_jobs();
    /// Returns the terms with the time since acceptance taken into account.
    [[nodiscard]] static job_terms remaining_terms(const open_job& job);
    /// Returns whether a job is expected to end before a planned stop is over.
    [[nodiscard]] bool ends_before_stop(const job_request& request,
                                        const job_terms& terms) const;

    const node_settings& settings;
    const route_table& routes;
    std::map<std::uint64_t, heartbeat_message>& peers;
    peer_mesh& mesh;
    pool_dispatcher& dispatcher;
    metrics_registry& metrics;
    event_counts& counts;
    holder_choice choice;
    std::map<std::uint64_t, instant> loads_at; ///< last load by link
    std::map<std::uint64_t, open_job> open_jobs;
    std::uint64_t next_ticket = 1;
    std::set<std::uint64_t> unrouted; ///< open jobs that wait for a holder
    instant last_routed;              ///< when a holder was last found
    std::vector<disconnected_holder> disconnected_holders;
    latency_histogram job_times;
    overload_counts shed_jobs;
    bool draining = false;
    instant drain_began{0};
};

} // namespace jujubedrum
