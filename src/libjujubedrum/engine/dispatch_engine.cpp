#include "engine/dispatch_engine.hpp"

#include "engine/request_filter.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Time after the start in which peers may report a newer configuration. The
/// instance does not become ready before it ends.
constexpr microseconds startup_grace_period = milliseconds(1500);

/// Time a peer may take to answer a forwarded collect request. Afterwards the
/// caller is told to ask again, which also bounds the wait for a dead peer.
constexpr microseconds collect_timeout = seconds(10);

/// Minimum time without an event, ticks included, that counts as a suspension
/// of the process. Ticks arrive every 10 ms.
constexpr microseconds min_suspension = milliseconds(250);

/// Time after a suspension in which requests may still arrive from the socket
/// buffers. Their age is unknown and assumed to be the length of the
/// suspension.
constexpr microseconds buffered_request_period = milliseconds(500);

claim_settings claim_settings_of(const tunables& values)
{
    claim_settings settings;
    settings.window = values.claim_window;
    settings.clock_skew = values.clock_skew;
    settings.timeout = values.claim_timeout;
    return settings;
}

job_table_limits table_limits_of(const engine_options& options)
{
    job_table_limits limits;
    limits.max_bytes = options.answer_budget_bytes;
    limits.answer_lifetime =
        std::max({options.tunables.answer_lifetime,
                  options.tunables.id_lifetime, options.tunables.claim_window});
    return limits;
}

grant_options grant_options_of(const tunables& values)
{
    grant_options options;
    options.idle_grace_period = values.grant_linger;
    return options;
}

member_options member_options_of(const tunables& values)
{
    member_options options;
    options.round_interval = values.heartbeat_interval;
    return options;
}

job_options job_options_of(const engine_options& options)
{
    job_options result;
    result.max_in_flight = options.max_in_flight;
    return result;
}

std::unique_ptr<placement_policy> policy_of(const engine_options& options,
                                            const placement_context& context)
{
    placement_reason why;
    return make_policy(jujubedrum::to_string(options.policy), context, why);
}

} // namespace

dispatch_engine::dispatch_engine(const engine_options& initial,
                                 metrics_sink& sink)
    : options(initial)
    , metrics(sink)
    , random(initial.seed)
    , policy(policy_of(initial, {this->pool, this->stats, this->random}))
    , grants(initial.self.name, this->pool, this->stats,
             grant_options_of(initial.tunables))
    , quotas(initial.self.name)
    , table(table_limits_of(initial))
    , issuer(initial.self.name, initial.incarnation,
             initial.tunables.id_lifetime)
    , admitter(job_options().max_queued_tasks)
    , jobs({*this->policy, this->pool, this->stats, this->table, this->budget,
            this->quotas, this->admitter, this->random, this->out, sink},
           job_options_of(initial))
    , config(initial.admin_public_key, initial.tunables.log_retention,
             this->random, this->out)
    , claims(initial.self.name, initial.incarnation,
             claim_settings_of(initial.tunables), this->random, this->out)
    , members(initial.self, initial.incarnation,
              member_options_of(initial.tunables), this->pool, this->stats,
              this->grants, this->quotas)
{
}

std::vector<action> dispatch_engine::handle(event next, instant at,
                                            wall_time wall_now,
                                            bool more_pending)
{
    this->detect_suspension(at);
    this->jobs.defer_rounds(more_pending);
    this->now = at;
    this->wall = wall_now;
    if (this->started_at < instant(0))
    {
        this->started_at = at;
    }
    std::visit([this](auto&& value)
               { this->on(std::forward<decltype(value)>(value)); },
               std::move(next));
    this->apply_claim_verdicts();
    this->refresh_members();
    this->apply_document();
    this->jobs.run_deferred_round(this->now);
    this->borrow_slots();
    return this->out.take();
}

void dispatch_engine::detect_suspension(instant at)
{
    if (this->started_at >= instant(0) && at - this->now >= min_suspension)
    {
        this->suspension = at - this->now;
        this->resumed_at = at;
    }
}

microseconds dispatch_engine::subtract_suspension(microseconds remaining) const
{
    return this->now - this->resumed_at < buffered_request_period
               ? remaining - this->suspension
               : remaining;
}

microseconds dispatch_engine::until(instant deadline) const
{
    return std::max(deadline - this->now, microseconds(0));
}

bool dispatch_engine::idle() const
{
    return this->jobs.running() == 0 && this->jobs.in_flight() == 0 &&
           this->claiming.empty();
}

void dispatch_engine::on(submit_event&& next)
{
    next.remaining = this->subtract_suspension(next.remaining);
    if (next.job.id().empty())
    {
        next.job =
            next.job.with_id(this->issuer.issue(1, this->now).first().text());
    }
    if (this->reply_if_known(next.token, next.job))
    {
        return;
    }
    const auto issued = issued_id::parse(next.job.id());
    if (issued)
    {
        this->submit_with_issued_id(std::move(next), *issued);
        return;
    }
    this->submit_with_caller_id(std::move(next));
}

void dispatch_engine::on(collect_event&& next)
{
    const auto known = this->table.find(next.id);
    if (known && (known->team.empty() || known->team == next.team))
    {
        if (known->running())
        {
            this->jobs.add_waiter(next.id, next.token);
            return;
        }
        this->reply(next.token, next.id, *known->result);
        return;
    }
    const auto claim = this->claiming.find(next.id);
    if (claim != this->claiming.end() && claim->second.job.team() == next.team)
    {
        claim->second.waiters.push_back(next.token);
        return;
    }
    if (!known && this->forward_query(
                      next.token, next.id, next.hops,
                      collect_request{next.id, next.team, collect_timeout}))
    {
        return;
    }
    this->reply_error(next.token, 404, "unknown_id",
                      "the id is not known here; resubmit the job with the "
                      "same id to learn its outcome");
}

void dispatch_engine::on(cancel_event&& next)
{
    const auto known = this->table.find(next.id);
    if (known && known->team == next.team)
    {
        if (known->running())
        {
            this->jobs.add_waiter(next.id, next.token);
            this->jobs.cancel(next.id, this->now);
            return;
        }
        this->reply(next.token, next.id, *known->result);
        return;
    }
    const auto claim = this->claiming.find(next.id);
    if (claim != this->claiming.end() && claim->second.job.team() == next.team)
    {
        claim->second.cancelled = true;
        claim->second.waiters.push_back(next.token);
        return;
    }
    if (!known && this->forward_query(next.token, next.id, next.hops,
                                      cancel_request{next.id, next.team}))
    {
        return;
    }
    this->reply_error(next.token, 404, "unknown_id", "the id is not known");
}

void dispatch_engine::on(ids_event&& next)
{
    this->out.add(
        ids_action{next.token, this->issuer.issue(next.count, this->now)});
}

void dispatch_engine::on(task_event&& next)
{
    this->jobs.on_task_reply(next.attempt, next.reply, this->now);
}

void dispatch_engine::on(list_event&& next)
{
    this->metrics.on_message(message_cause::control, 2);
    this->members.on_list(next, this->now);
    this->jobs.place_queued_tasks(this->now);
}

void dispatch_engine::on(records_event&& next)
{
    const bool claims_read = claim_controller::is_claim_stream(next.stream);
    this->metrics.on_message(
        claims_read ? message_cause::claim : message_cause::control, 2);
    if (claims_read)
    {
        this->claims.on_records(next, this->now, this->wall);
        return;
    }
    this->config.on_records(next, this->now);
}

void dispatch_engine::on(read_failed_event&& next)
{
    if (claim_controller::is_claim_stream(next.stream))
    {
        this->claims.on_read_failed(next.stream, this->now);
        return;
    }
    if (next.stream == config_controller::stream)
    {
        this->config.on_read_failed();
    }
}

void dispatch_engine::on(append_event&& next)
{
    this->metrics.on_message(message_cause::claim, 2);
    if (claim_controller::is_claim_stream(next.stream))
    {
        this->claims.on_append(next);
        return;
    }
    this->config.on_append(next, this->now);
}

void dispatch_engine::on(peer_request_event&& next)
{
    std::visit(
        [this, &next](auto&& request) {
            this->on_peer(next.token, std::forward<decltype(request)>(request));
        },
        std::move(next.request));
}

void dispatch_engine::on(peer_reply_event&& next)
{
    const auto found = this->calls.find(next.call);
    if (found == this->calls.end())
    {
        return;
    }
    pending_call context = std::move(found->second);
    this->calls.erase(found);
    std::visit([this, &next](auto& call) { this->on_result(call, next.reply); },
               context);
}

void dispatch_engine::on(tick_event&& /*next*/)
{
    this->send_heartbeats();
    this->return_slots();
    this->claims.set_flush_interval(std::max<microseconds>(
        milliseconds(5),
        microseconds(seconds(this->members.live_entry_count())) /
            this->options.tunables.claim_append_budget));
    this->claims.tick(this->now, this->wall);
    this->config.tick(this->now);
    this->table.expire(this->now);
    this->jobs.tick(this->now);
    this->fetch_newer_document();
    this->update_ready();
}

void dispatch_engine::on(drain_event&& /*next*/)
{
    this->is_draining = true;
    this->jobs.drain(this->now);
}

void dispatch_engine::on_peer(request_token token, heartbeat_request&& request)
{
    this->members.table().on_digest(request.digest, this->now);
    heartbeat_reply answer;
    answer.revoked = this->grants.on_report(request.grants, this->now);
    this->grants.on_peer_free_slots(request.digest.name,
                                    request.digest.free_slots, this->now);
    answer.digest = this->members.table().make_digest(
        this->phase(), this->config.revision(), this->pool.free(),
        static_cast<std::uint32_t>(this->jobs.queued()));
    this->out.add(reply_peer_action{token, std::move(answer)});
    this->jobs.place_queued_tasks(this->now);
}

void dispatch_engine::on_peer(request_token token, borrow_request&& request)
{
    this->out.add(
        reply_peer_action{token, this->grants.lend(request, this->now)});
}

void dispatch_engine::on_peer(request_token token, grant_report&& request)
{
    grant_report_reply answer;
    answer.revoked = this->grants.on_report(request, this->now);
    this->out.add(reply_peer_action{token, std::move(answer)});
    this->jobs.place_queued_tasks(this->now);
}

void dispatch_engine::on_peer(request_token token, submit_request&& request)
{
    job_reason why;
    auto job =
        submission::parse(request.job, submission_limits(),
                          kind_defaults_of(this->config.document()), why);
    if (!job)
    {
        this->reply_error(token, 400, "malformed", why.message());
        return;
    }
    submit_event next;
    next.token = token;
    next.job = std::move(*job);
    next.remaining = request.remaining;
    next.hops = request.hops;
    this->on(std::move(next));
}

void dispatch_engine::on_peer(request_token token, collect_request&& request)
{
    this->on(collect_event{token, request.id, request.team, 1});
}

void dispatch_engine::on_peer(request_token token, cancel_request&& request)
{
    this->on(cancel_event{token, request.id, request.team, 1});
}

void dispatch_engine::on_peer(request_token token,
                              config_records_request&& /*request*/)
{
    config_records_reply answer;
    answer.records = this->config.records_for_peer();
    this->out.add(reply_peer_action{token, std::move(answer)});
}

void dispatch_engine::on_result(forwarded_call& call, peer_reply& reply)
{
    if (const auto* answer = std::get_if<job_reply>(&reply))
    {
        if (auto parsed = api_reply::parse(answer->body))
        {
            this->out.add(reply_action{call.token, std::move(*parsed)});
            return;
        }
    }
    if (call.job && call.job->has_caller_id())
    {
        // Whether or not the peer received the job, the claim on the log
        // decides which instance runs it.
        const auto* failure = std::get_if<peer_failure>(&reply);
        const bool not_sent =
            failure != nullptr && failure->delivery == peer_delivery::not_sent;
        this->claim(std::move(*call.job), call.token, call.received,
                    call.deadline, not_sent ? "" : call.peer);
        return;
    }
    this->reply_unreachable(call.token, call.id);
}

void dispatch_engine::on_result(heartbeat_call& call, peer_reply& reply)
{
    const auto* answer = std::get_if<heartbeat_reply>(&reply);
    if (answer == nullptr)
    {
        this->members.table().on_heartbeat_failed(call.peer, this->now);
        return;
    }
    this->members.table().on_reply(answer->digest, call.sent, this->now);
    this->grants.on_peer_free_slots(call.peer, answer->digest.free_slots,
                                    this->now);
    this->grants.on_revoked(call.peer, answer->revoked);
}

void dispatch_engine::on_result(borrow_call& call, peer_reply& reply)
{
    const auto* answer = std::get_if<borrow_reply>(&reply);
    if (answer == nullptr)
    {
        this->record_peer_failure(call.lender, reply);
        this->grants.on_no_reply(call.sequence, this->now);
        return;
    }
    this->grants.on_reply(*answer, this->now);
    this->jobs.place_queued_tasks(this->now);
}

void dispatch_engine::on_result(grant_report_call& call, peer_reply& reply)
{
    this->record_peer_failure(call.lender, reply);
    if (const auto* answer = std::get_if<grant_report_reply>(&reply))
    {
        this->grants.on_revoked(call.lender, answer->revoked);
    }
}

void dispatch_engine::on_result(config_call& /*call*/, peer_reply& reply)
{
    this->fetching_config = false;
    if (const auto* answer = std::get_if<config_records_reply>(&reply))
    {
        this->config.on_peer_records(answer->records, this->now);
    }
}

void dispatch_engine::on_result(withdrawn_claim_call& call, peer_reply& reply)
{
    const auto found = this->claiming.find(call.id);
    if (found == this->claiming.end())
    {
        return;
    }
    const claiming_job job = std::move(found->second);
    this->claiming.erase(found);
    outcome result =
        outcome::failed(outcome_reason::log_unavailable,
                        "a peer may have run the job, and neither it nor the "
                        "log tells");
    const auto* answer = std::get_if<job_reply>(&reply);
    const auto parsed =
        answer != nullptr ? api_reply::parse(answer->body) : std::nullopt;
    const outcome* known = parsed ? parsed->result() : nullptr;
    if (known != nullptr && known->kind() != outcome_kind::in_progress)
    {
        result = *known;
    }
    this->finish_unsent(job.job, job.waiters, std::move(result));
}

void dispatch_engine::reply(request_token token, const std::string& id,
                            outcome result)
{
    this->out.add(reply_action{token, api_reply(id, std::move(result))});
}

void dispatch_engine::reply_error(request_token token, int status,
                                  std::string code, std::string text)
{
    this->out.add(reply_action{
        token, api_reply(api_error{status, std::move(code), std::move(text)})});
}

bool dispatch_engine::reply_if_known(request_token token, const submission& job)
{
    const auto known = this->table.find(job.id());
    if (known)
    {
        if (!known->digest.empty() && known->digest != job.digest())
        {
            this->reply_error(token, 409, "conflict",
                              "the id belongs to a job with another body");
        }
        else if (known->running())
        {
            this->jobs.add_waiter(job.id(), token);
        }
        else
        {
            this->reply(token, job.id(), *known->result);
        }
        return true;
    }
    const auto claim = this->claiming.find(job.id());
    if (claim == this->claiming.end())
    {
        return false;
    }
    if (claim->second.job.digest() != job.digest())
    {
        this->reply_error(token, 409, "conflict",
                          "the id belongs to a job with another body");
        return true;
    }
    claim->second.waiters.push_back(token);
    return true;
}

void dispatch_engine::submit_with_issued_id(submit_event&& next,
                                            const issued_id& id)
{
    const std::string text = next.job.id();
    if (!this->issuer.owns(id))
    {
        if (this->is_process_dead(id.instance(), id.incarnation()))
        {
            this->reply(next.token, text,
                        outcome::failed(outcome_reason::instance_dead,
                                        "the instance that issued the id is "
                                        "gone; the tasks may have run"));
            return;
        }
        if (next.hops > 0)
        {
            this->reply_unreachable(next.token, text);
            return;
        }
        this->forward(std::move(next), id.instance());
        return;
    }
    if (!this->issuer.was_issued(id))
    {
        this->reply_error(next.token, 400, "unknown_id",
                          "the id was not issued by this instance");
        return;
    }
    if (!this->issuer.usable(id, this->now))
    {
        this->reply(next.token, text,
                    outcome::failed(outcome_reason::id_expired,
                                    "the id has expired; the tasks may have "
                                    "run"));
        return;
    }
    const instant deadline = this->now + next.remaining;
    this->admit(std::move(next.job), {next.token}, this->now, deadline);
}

void dispatch_engine::submit_with_caller_id(submit_event&& next)
{
    const std::string stream = claim_controller::stream_name(
        claim_controller::stream_index(next.job.id()));
    const std::string owner = this->members.preferred_instance(stream);
    if (owner != this->options.self.name && next.hops == 0 &&
        this->members.find_reachable(owner))
    {
        this->forward(std::move(next), owner);
        return;
    }
    const instant deadline = this->now + next.remaining;
    this->claim(std::move(next.job), next.token, this->now, deadline, "");
}

void dispatch_engine::claim(submission job, request_token token,
                            instant received, instant deadline,
                            const std::string& forwarded_to)
{
    const std::string id = job.id();
    if (this->reply_if_known(token, job))
    {
        const auto same = this->claiming.find(id);
        if (same != this->claiming.end() && !forwarded_to.empty())
        {
            same->second.forwarded_to = forwarded_to;
        }
        return;
    }
    // Only the claim shows whether another instance runs the id, so a job is
    // refused for lack of capacity or time after it, never before.
    job_reason why;
    if (this->claims.claim(id, job.digest(),
                           job.created_at().value_or(wall_time(0)), this->now,
                           this->wall, why))
    {
        this->claiming[id] = {std::move(job), received,     deadline,
                              {token},        forwarded_to, false};
        return;
    }
    switch (why.code())
    {
    case job_error::too_old:
        this->reply(token, id,
                    outcome::failed(outcome_reason::id_expired, why.message()));
        return;
    case job_error::in_future:
        this->finish_unsent(
            job, {token},
            outcome::not_run(outcome_reason::clock_skew, why.message(), false));
        return;
    default:
        // Nothing is known about the id, so the reply is an error and not an
        // outcome.
        this->reply_error(token, 503, "overloaded", why.message());
        return;
    }
}

void dispatch_engine::forward(submit_event&& next, const std::string& to)
{
    const std::string id = next.job.id();
    const auto peer = this->members.find_reachable(to);
    if (!peer)
    {
        this->reply_unreachable(next.token, id);
        return;
    }
    submit_request request;
    request.job = next.job.to_json();
    request.remaining = next.remaining;
    request.hops = next.hops + 1;
    forwarded_call context;
    context.token = next.token;
    context.id = id;
    context.received = this->now;
    context.deadline = this->now + next.remaining;
    context.peer = to;
    context.job = std::move(next.job);
    this->metrics.on_message(message_cause::forward, 2);
    this->call(*peer, std::move(request), std::move(context));
}

void dispatch_engine::reply_unreachable(request_token token,
                                        const std::string& id)
{
    this->reply(token, id,
                outcome::in_progress(
                    outcome_reason::instance_unreachable,
                    "the instance that holds the id cannot be reached; ask "
                    "again with the same id"));
}

bool dispatch_engine::is_process_dead(const std::string& instance,
                                      std::uint64_t incarnation)
{
    if (instance == this->options.self.name)
    {
        return incarnation != this->options.incarnation;
    }
    return this->members.table().is_dead(instance, incarnation, this->now);
}

bool dispatch_engine::forward_query(request_token token, const std::string& id,
                                    std::uint32_t hops,
                                    const peer_request& request)
{
    const auto issued = issued_id::parse(id);
    if (issued && this->issuer.owns(*issued))
    {
        return false;
    }
    const auto claimed = this->claims.first_claim(id);
    std::string holder = this->members.preferred_instance(
        claim_controller::stream_name(claim_controller::stream_index(id)));
    std::uint64_t incarnation = 0;
    if (issued || claimed)
    {
        holder = issued ? issued->instance() : claimed->instance;
        incarnation = issued ? issued->incarnation() : claimed->incarnation;
    }
    if (incarnation != 0 && this->is_process_dead(holder, incarnation))
    {
        this->reply(token, id,
                    outcome::failed(outcome_reason::instance_dead,
                                    "the instance that held the id is gone; "
                                    "the tasks may have run"));
        return true;
    }
    if (hops > 0 || holder == this->options.self.name)
    {
        return false;
    }
    const auto peer = this->members.find_reachable(holder);
    if (!peer)
    {
        this->reply_unreachable(token, id);
        return true;
    }
    forwarded_call context;
    context.token = token;
    context.id = id;
    context.peer = holder;
    this->metrics.on_message(message_cause::forward, 2);
    this->call(*peer, request, std::move(context));
    return true;
}

void dispatch_engine::admit(submission job,
                            const std::vector<request_token>& waiters,
                            instant received, instant deadline)
{
    if (auto refused = this->refuse(job, deadline))
    {
        this->finish_unsent(job, waiters, std::move(*refused));
        return;
    }
    const std::size_t tasks = job.tasks().size();
    const std::string id = job.id();
    team_quota* quota = this->quotas.find(job.team());
    if (quota != nullptr && !quota->admit(tasks, this->now))
    {
        this->finish_unsent(
            job, waiters,
            outcome::not_run(outcome_reason::over_quota,
                             "the team is over its quota of task "
                             "starts",
                             true));
        return;
    }
    if (this->table.open(job, this->now) != open_verdict::opened)
    {
        if (quota != nullptr)
        {
            quota->refund(tasks);
        }
        this->finish_unsent(job, waiters,
                            outcome::not_run(outcome_reason::overloaded,
                                             "too many jobs are running",
                                             true));
        return;
    }
    this->jobs.start(std::move(job), received, deadline, this->now);
    for (const request_token token : waiters)
    {
        this->jobs.add_waiter(id, token);
    }
}

std::optional<outcome> dispatch_engine::refuse(const submission& job,
                                               instant deadline)
{
    if (this->is_draining)
    {
        return outcome::not_run(outcome_reason::draining,
                                "the instance is stopping", true);
    }
    if (deadline <= this->now)
    {
        return outcome::not_run(outcome_reason::deadline, "the deadline passed",
                                true);
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - this->now);
    const capacity_view view = this->capacity();
    admission_verdict verdict = this->admitter.check(job, left, view);
    while (verdict == admission_verdict::queue_full && this->shed_for(job))
    {
        verdict = this->admitter.check(job, left, view);
    }
    switch (verdict)
    {
    case admission_verdict::admitted:
        return std::nullopt;
    case admission_verdict::never_runs:
        return outcome::not_run(outcome_reason::cannot_run,
                                "no backend server can run a task of this "
                                "memory or within this deadline",
                                false);
    case admission_verdict::queue_full:
        return outcome::not_run(outcome_reason::overloaded, "the queue is full",
                                true);
    case admission_verdict::deadline_too_near:
        return outcome::not_run(outcome_reason::deadline,
                                "the estimated wait exceeds the deadline",
                                true);
    }
    return std::nullopt;
}

bool dispatch_engine::shed_for(const submission& job)
{
    const auto team =
        this->admitter.team_to_shed(job.team(), job.tasks().size());
    return team && this->jobs.shed(*team, this->now);
}

void dispatch_engine::finish_unsent(const submission& job,
                                    const std::vector<request_token>& waiters,
                                    outcome result)
{
    // The outcome is stored, so that a delayed copy of the request cannot start
    // a job that was reported to its caller as not run.
    const bool stored =
        this->table.open(job, this->now) == open_verdict::opened;
    if (stored)
    {
        this->table.finish(job.id(), result, this->now);
    }
    this->metrics.on_message(message_cause::refusal, 1);
    this->metrics.on_job_finished(to_string(result.kind()), 0.0);
    for (const request_token token : waiters)
    {
        if (stored || job.has_caller_id())
        {
            // A caller-chosen id is kept in the claim ledger even if the table
            // cannot store the outcome.
            this->reply(token, job.id(), result);
            continue;
        }
        this->reply_error(token, 503, "overloaded", result.text());
    }
}

void dispatch_engine::call(const peer_address& peer, peer_request request,
                           pending_call context)
{
    const call_id id = ++this->last_call_id;
    this->calls.emplace(id, std::move(context));
    this->out.add(call_peer_action{id, peer, std::move(request)});
}

void dispatch_engine::record_peer_failure(const std::string& peer,
                                          const peer_reply& reply)
{
    // A broken connection counts as a failed heartbeat at once. The next
    // heartbeats, which go to suspect peers first, confirm or clear the
    // suspicion.
    const auto* failure = std::get_if<peer_failure>(&reply);
    if (failure != nullptr && failure->error == peer_error::unreachable)
    {
        this->members.table().on_heartbeat_failed(peer, this->now);
    }
}

void dispatch_engine::apply_claim_verdicts()
{
    for (const claim_verdict& verdict : this->claims.take_verdicts())
    {
        this->apply_claim_verdict(verdict);
    }
}

void dispatch_engine::apply_claim_verdict(const claim_verdict& verdict)
{
    const auto found = this->claiming.find(verdict.id);
    if (found == this->claiming.end())
    {
        return;
    }
    if (verdict.result == claim_result::withdrawn)
    {
        this->on_claim_withdrawn(verdict);
        return;
    }
    claiming_job job = std::move(found->second);
    this->claiming.erase(found);
    if (verdict.result == claim_result::lost)
    {
        for (const request_token token : job.waiters)
        {
            this->on_claim_lost(verdict, job, token);
        }
        return;
    }
    if (job.cancelled)
    {
        this->finish_unsent(job.job, job.waiters,
                            outcome::not_run(outcome_reason::cancelled,
                                             "cancelled by the caller", false));
        return;
    }
    this->admit(std::move(job.job), job.waiters, job.received, job.deadline);
}

void dispatch_engine::on_claim_withdrawn(const claim_verdict& verdict)
{
    const auto found = this->claiming.find(verdict.id);
    const claiming_job& known = found->second;
    const auto peer = this->members.find_reachable(known.forwarded_to);
    if (peer)
    {
        // The peer may be running the job. The entry stays until the peer
        // replies, so that further copies of the job wait as well.
        peer_request request = collect_request{verdict.id, known.job.team(),
                                               this->until(known.deadline)};
        if (known.cancelled)
        {
            request = cancel_request{verdict.id, known.job.team()};
        }
        this->metrics.on_message(message_cause::forward, 2);
        this->call(*peer, std::move(request), withdrawn_claim_call{verdict.id});
        return;
    }
    const claiming_job job = std::move(found->second);
    this->claiming.erase(found);
    if (!job.forwarded_to.empty())
    {
        this->finish_unsent(
            job.job, job.waiters,
            outcome::failed(outcome_reason::log_unavailable,
                            "a peer may have run the job, and neither it nor "
                            "the log tells"));
        return;
    }
    // Another instance may be running an earlier copy of the job. This cannot
    // be determined without the log, so no final outcome is reported.
    for (const request_token token : job.waiters)
    {
        this->reply(token, verdict.id,
                    outcome::in_progress(
                        outcome_reason::log_unavailable,
                        "the id could not be claimed on the platform's log; "
                        "submit the job again with the same id"));
    }
}

void dispatch_engine::on_claim_lost(const claim_verdict& verdict,
                                    const claiming_job& job,
                                    request_token token)
{
    if (verdict.digest != job.job.digest())
    {
        this->reply_error(token, 409, "conflict",
                          "the id belongs to a job with another body");
        return;
    }
    const bool own = verdict.instance == this->options.self.name;
    if (own && verdict.incarnation == this->options.incarnation &&
        this->reply_if_known(token, job.job))
    {
        return;
    }
    if (own || this->members.table().is_dead(verdict.instance,
                                             verdict.incarnation, this->now))
    {
        this->reply(token, verdict.id,
                    outcome::failed(outcome_reason::instance_dead,
                                    "the instance that claimed the id is "
                                    "gone; the tasks may have run"));
        return;
    }
    this->forward_to_claim_holder(verdict, job, token);
}

void dispatch_engine::forward_to_claim_holder(const claim_verdict& verdict,
                                              const claiming_job& job,
                                              request_token token)
{
    const auto peer = this->members.find_reachable(verdict.instance);
    if (!peer)
    {
        this->reply_unreachable(token, verdict.id);
        return;
    }
    forwarded_call context;
    context.token = token;
    context.id = verdict.id;
    context.peer = verdict.instance;
    peer_request request =
        collect_request{verdict.id, job.job.team(), this->until(job.deadline)};
    if (job.cancelled)
    {
        request = cancel_request{verdict.id, job.job.team()};
    }
    this->metrics.on_message(message_cause::forward, 2);
    this->call(*peer, std::move(request), std::move(context));
}

void dispatch_engine::send_heartbeats()
{
    for (const instance_info& peer : this->members.table().tick(this->now))
    {
        heartbeat_request request;
        request.digest = this->members.table().make_digest(
            this->phase(), this->config.revision(), this->pool.free(),
            static_cast<std::uint32_t>(this->jobs.queued()));
        request.grants = this->grants.report_for(peer.name);
        this->metrics.on_message(message_cause::control, 2);
        this->call({peer.name, peer.address, peer.rpc_port}, std::move(request),
                   heartbeat_call{peer.name, this->now});
    }
}

void dispatch_engine::borrow_slots()
{
    if (this->jobs.queued() == 0 || !this->policy->uses_owned_slots() ||
        this->is_draining)
    {
        return;
    }
    const auto planned =
        this->grants.plan_request(this->jobs.take_late_tasks(), this->now);
    if (!planned)
    {
        return;
    }
    const auto peer = this->members.find_reachable(planned->lender);
    if (!peer)
    {
        this->grants.on_no_reply(planned->request.sequence, this->now);
        return;
    }
    this->metrics.on_message(message_cause::grant, 2);
    this->call(*peer, planned->request,
               borrow_call{planned->lender, planned->request.sequence});
}

void dispatch_engine::return_slots()
{
    for (const planned_report& report : this->grants.tick(this->now))
    {
        const auto peer = this->members.find_reachable(report.lender);
        if (!peer)
        {
            continue;
        }
        this->metrics.on_message(message_cause::grant, 2);
        this->call(*peer, report.report, grant_report_call{report.lender});
    }
}

void dispatch_engine::refresh_members()
{
    if (this->members.refresh(this->now))
    {
        this->jobs.place_queued_tasks(this->now);
    }
}

void dispatch_engine::apply_document()
{
    if (this->applied_revision == this->config.revision())
    {
        return;
    }
    this->applied_revision = this->config.revision();
    const auto& document = this->config.document();
    this->quotas.set_document(document, this->now);
    for (const std::string& name : document.team_names())
    {
        const double weight = document.find_team(name)->weight();
        this->jobs.waiting_tasks().set_weight(name, weight);
        this->admitter.set_weight(name, weight);
    }
    retry_settings retries;
    retries.fraction = document.system().retry_percent() / 100.0;
    this->budget = retry_budget(retries);
    job_options changed = this->jobs.current_options();
    changed.hedging = document.system().objective() == objective::response_time;
    this->jobs.set_options(changed);
    this->policy->set_tuning(placement_tuning::for_objective(
        changed.hedging ? placement_objective::response_time
                        : placement_objective::messages));
    this->out.add(document_action{this->applied_revision});
}

void dispatch_engine::fetch_newer_document()
{
    const auto highest = this->members.table().highest_revision();
    if (this->fetching_config || !highest ||
        highest->revision <= this->config.revision())
    {
        return;
    }
    const auto peer = this->members.find_reachable(highest->name);
    if (!peer)
    {
        return;
    }
    this->fetching_config = true;
    this->metrics.on_message(message_cause::control, 2);
    this->call(*peer, config_records_request{this->config.next_offset()},
               config_call{});
}

void dispatch_engine::update_ready()
{
    if (this->is_ready)
    {
        return;
    }
    const auto highest = this->members.table().highest_revision();
    const bool behind_peer =
        highest && highest->revision > this->config.revision();
    const bool source_read =
        this->config.caught_up() || this->config.revision() > 0;
    this->is_ready = source_read && !behind_peer &&
                     this->now - this->started_at >= startup_grace_period &&
                     this->members.table().list_version() > 0;
}

capacity_view dispatch_engine::capacity() const
{
    capacity_view view;
    double fastest = 0;
    for (const auto& [name, server] : this->pool.servers())
    {
        if (!server.usable)
        {
            continue;
        }
        view.max_server_memory_mb =
            std::max(view.max_server_memory_mb,
                     static_cast<std::uint32_t>(server.server.memory_mb()));
        fastest =
            std::max(fastest, 1.0 / std::max(this->stats.slowness(name), 0.01));
    }
    view.max_server_speed = fastest > 0 ? fastest : 1.0;
    view.slots = this->pool.capacity();
    return view;
}

peer_phase dispatch_engine::phase() const
{
    if (this->is_draining)
    {
        return peer_phase::leaving;
    }
    return this->is_ready ? peer_phase::ready : peer_phase::starting;
}

std::string dispatch_engine::status() const
{
    return this->report().status();
}

std::string dispatch_engine::dump(instant at) const
{
    return this->report().dump(at);
}

engine_report dispatch_engine::report() const
{
    return engine_report({this->options.self, this->options.incarnation,
                          this->is_ready, this->is_draining, this->calls.size(),
                          this->members.table(), this->pool, this->stats,
                          this->grants, this->quotas, this->table, this->jobs,
                          this->config, this->claims});
}

} // namespace jujubedrum
