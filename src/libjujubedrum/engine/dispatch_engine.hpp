#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "config/settings.hpp"
#include "engine/claim_controller.hpp"
#include "engine/config_controller.hpp"
#include "engine/engine_report.hpp"
#include "engine/events.hpp"
#include "engine/job_controller.hpp"
#include "engine/member_controller.hpp"
#include "engine/metrics_sink.hpp"
#include "engine/outbox.hpp"
#include "engine/quota_controller.hpp"
#include "jobs/id_issuer.hpp"
#include "jobs/job_table.hpp"
#include "limits/admission.hpp"
#include "limits/retry_budget.hpp"
#include "membership/member_table.hpp"
#include "placement/grant_book.hpp"
#include "placement/placement_policy.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_pool.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jujubedrum
{

/// Construction parameters of a `dispatch_engine`.
struct engine_options
{
    /// Description of this instance.
    instance_info self;
    /// Random value of this process start, not 0.
    std::uint64_t incarnation = 0;
    std::string admin_public_key;
    policy_name policy = policy_name::owned_slots;
    struct tunables tunables;
    std::size_t answer_budget_bytes = 64UL * 1024 * 1024;
    /// Maximum number of task attempts in flight.
    std::size_t max_in_flight = 64;
    /// Seed of all random choices.
    std::uint64_t seed = 0;
};

/// Owns the state of an entry instance and makes all its decisions. Called by
/// one thread; neither blocks nor reads a clock.
class dispatch_engine
{
public:
    dispatch_engine(const engine_options& options, metrics_sink& metrics);
    dispatch_engine(const dispatch_engine&) = delete;
    dispatch_engine& operator=(const dispatch_engine&) = delete;

    /// Handles an event and returns what has to be done, in order.
    /// \param more whether another event is waiting. The placement round is
    /// then left to that event, because a round costs far more than an event.
    std::vector<action> handle(event next, instant now, wall_time wall,
                               bool more_pending = false);

    /// Returns whether the instance may take jobs: it holds a configuration not
    /// older than any that the platform or a reachable peer reported. Stays
    /// true once it is.
    [[nodiscard]] bool ready() const { return this->is_ready; }
    /// Returns whether the instance was asked to stop.
    [[nodiscard]] bool draining() const { return this->is_draining; }
    /// Returns whether no job is running or being claimed and no task attempt
    /// is in flight.
    [[nodiscard]] bool idle() const;
    /// Returns the configuration in force.
    [[nodiscard]] const class document& document() const
    {
        return this->config.document();
    }
    /// Returns the state as JSON, bounded in size.
    [[nodiscard]] std::string dump(instant now) const;
    /// Returns a summary as JSON: this instance, its peers and the
    /// configuration revision in force on each.
    [[nodiscard]] std::string status() const;

private:
    /// A job whose id is being claimed, or whose outcome was requested from a
    /// peer after its claim was withdrawn.
    struct claiming_job
    {
        submission job;
        instant received{0};
        instant deadline{0};
        std::vector<request_token> waiters;
        /// Peer that may have received the job from this instance; empty if
        /// none.
        std::string forwarded_to;
        /// Whether the caller cancelled the job while it was being claimed.
        bool cancelled = false;
    };

    /// A job, or a collect or cancel request for one, that was forwarded to a
    /// peer.
    struct forwarded_call
    {
        request_token token = 0;
        std::string id;
        /// The forwarded job; absent for a collect or cancel request. If it has
        /// a caller-chosen id, it is claimed here when the peer does not
        /// answer.
        std::optional<submission> job;
        instant received{0};
        instant deadline{0};
        std::string peer;
    };
    struct heartbeat_call
    {
        std::string peer;
        instant sent{0};
    };
    struct borrow_call
    {
        std::string lender;
        std::uint64_t sequence = 0;
    };
    struct grant_report_call
    {
        std::string lender;
    };
    struct config_call
    {
    };
    /// A collect or cancel request to the peer that may have received a job
    /// whose claim was withdrawn.
    struct withdrawn_claim_call
    {
        std::string id;
    };
    using pending_call =
        std::variant<forwarded_call, heartbeat_call, borrow_call,
                     grant_report_call, config_call, withdrawn_claim_call>;

    void on(submit_event&& next);
    void on(collect_event&& next);
    void on(cancel_event&& next);
    void on(ids_event&& next);
    void on(task_event&& next);
    void on(list_event&& next);
    void on(records_event&& next);
    void on(read_failed_event&& next);
    void on(append_event&& next);
    void on(peer_request_event&& next);
    void on(peer_reply_event&& next);
    void on(tick_event&& next);
    void on(drain_event&& next);

    void on_peer(request_token token, heartbeat_request&& request);
    void on_peer(request_token token, borrow_request&& request);
    void on_peer(request_token token, grant_report&& request);
    void on_peer(request_token token, submit_request&& request);
    void on_peer(request_token token, collect_request&& request);
    void on_peer(request_token token, cancel_request&& request);
    void on_peer(request_token token, config_records_request&& request);

    void on_result(forwarded_call& call, peer_reply& reply);
    void on_result(heartbeat_call& call, peer_reply& reply);
    void on_result(borrow_call& call, peer_reply& reply);
    void on_result(grant_report_call& call, peer_reply& reply);
    void on_result(config_call& call, peer_reply& reply);
    void on_result(withdrawn_claim_call& call, peer_reply& reply);

    void reply(request_token token, const std::string& id, outcome result);
    void reply_error(request_token token, int status, std::string code,
                     std::string text);
    bool reply_if_known(request_token token, const submission& job);
    void submit_with_issued_id(submit_event&& next, const issued_id& id);
    void submit_with_caller_id(submit_event&& next);
    void claim(submission job, request_token token, instant received,
               instant deadline, const std::string& forwarded_to);
    void on_claim_lost(const claim_verdict& verdict, const claiming_job& job,
                       request_token token);
    void on_claim_withdrawn(const claim_verdict& verdict);
    void forward_to_claim_holder(const claim_verdict& verdict,
                                 const claiming_job& job, request_token token);
    void forward(submit_event&& next, const std::string& to);
    void reply_unreachable(request_token token, const std::string& id);
    [[nodiscard]] bool is_process_dead(const std::string& instance,
                                       std::uint64_t incarnation);
    bool forward_query(request_token token, const std::string& id,
                       std::uint32_t hops, const peer_request& request);
    void admit(submission job, const std::vector<request_token>& waiters,
               instant received, instant deadline);
    std::optional<outcome> refuse(const submission& job, instant deadline);
    bool shed_for(const submission& job);
    void finish_unsent(const submission& job,
                       const std::vector<request_token>& waiters,
                       outcome result);
    void call(const peer_address& peer, peer_request request,
              pending_call context);
    void record_peer_failure(const std::string& peer, const peer_reply& reply);
    void apply_claim_verdicts();
    void apply_claim_verdict(const claim_verdict& verdict);
    void send_heartbeats();
    void borrow_slots();
    void return_slots();
    void refresh_members();
    void apply_document();
    void fetch_newer_document();
    void update_ready();
    void detect_suspension(instant at);
    [[nodiscard]] microseconds until(instant deadline) const;
    [[nodiscard]] microseconds
    subtract_suspension(microseconds remaining) const;
    [[nodiscard]] engine_report report() const;
    [[nodiscard]] capacity_view capacity() const;
    [[nodiscard]] peer_phase phase() const;

    engine_options options;
    metrics_sink& metrics;
    random_source random;
    outbox out;
    slot_pool pool;
    server_stats stats;
    std::unique_ptr<placement_policy> policy;
    grant_book grants;
    quota_controller quotas;
    retry_budget budget;
    job_table table;
    id_issuer issuer;
    admission admitter;
    job_controller jobs;
    config_controller config;
    claim_controller claims;
    member_controller members;
    std::unordered_map<std::string, claiming_job> claiming;
    std::map<call_id, pending_call> calls;
    call_id last_call_id = 0;
    instant now{0};
    wall_time wall{0};
    instant started_at{-1};
    /// Length and end of the latest suspension of the process.
    microseconds suspension{0};
    instant resumed_at{0};
    std::uint64_t applied_revision = 0;
    bool fetching_config = false;
    bool is_ready = false;
    bool is_draining = false;
};

} // namespace jujubedrum
