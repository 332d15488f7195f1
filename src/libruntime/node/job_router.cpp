#include "node/job_router.hpp"

#include "logging.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Delay after which a caller may repeat a request that found no holder.
constexpr milliseconds no_holder_retry_after{500};
/// Jobs wait while there has been no holder for less than this time, and are
/// refused at once afterwards. A holder that failed is replaced after 0.4 s,
/// and after a restart of all instances pools are taken and their servers
/// polled within 0.8 s. A job that waits that long starts sooner than one that
/// is refused and submitted again.
constexpr milliseconds no_holder_grace_period{1000};
/// Jobs that are recalled in one tick of 20 ms. The loads of the holders with
/// room do not show the moved jobs yet.
constexpr std::size_t max_recalls_per_tick = 4;
/// Reason of holders for a job that gave way to a more urgent one.
constexpr std::string_view displaced_reason = "displaced";
/// Reason of `pool_dispatcher::recall`.
constexpr std::string_view recalled_reason = "recalled";
/// A job is accepted during a planned stop if the remaining time is this
/// multiple of the job's expected duration, since actual run times differ from
/// declared ones and servers differ in speed.
constexpr double drain_safety_factor = 2.5;
/// Part of the grace period that is reserved for the last answers and the exit.
constexpr milliseconds drain_margin{600};

bool contains_nul(const job_request& request, const job_terms& terms)
{
    const auto has_nul = [](const std::string& text)
    { return text.find('\0') != std::string::npos; };
    return has_nul(request.payload) || has_nul(terms.service) ||
           std::any_of(request.steps.begin(), request.steps.end(),
                       [&has_nul](const job_step& step) {
                           return has_nul(step.label) ||
                                  has_nul(step.data_rack);
                       });
}

} // namespace

job_router::job_router(const node_settings& values, std::uint64_t seed,
                       const route_table& table,
                       std::map<std::uint64_t, heartbeat_message>& known_peers,
                       peer_mesh& links, pool_dispatcher& local,
                       metrics_registry& registry, event_counts& events)
    : settings(values)
    , routes(table)
    , peers(known_peers)
    , mesh(links)
    , dispatcher(local)
    , metrics(registry)
    , counts(events)
    , choice(values.domain(), seed, values.holder_policy())
    , last_routed(event_loop::now())
{
}

void job_router::drain()
{
    this->draining = true;
    this->drain_began = event_loop::now();
}

void job_router::stop()
{
    while (!this->open_jobs.empty())
    {
        this->finish_job(
            this->open_jobs.begin()->first,
            {job_outcome::incomplete, "stopping", milliseconds(0)});
    }
}

void job_router::tick(const instance_view& self)
{
    this->retry_unrouted();
    this->resubmit_orphaned_jobs(self);
    this->expire_jobs();
    this->recall_late_jobs();
}

void job_router::on_load(std::uint64_t link)
{
    this->loads_at[link] = event_loop::now();
    this->choice.on_load(link, event_loop::now());
}

void job_router::on_result(std::uint64_t link, const result_message& ended)
{
    const auto at = this->open_jobs.find(ended.ticket);
    if (at == this->open_jobs.end() || at->second.link != link)
    {
        return;
    }
    open_job& job = at->second;
    const bool handed_back = ended.result.outcome == job_outcome::handed_back;
    if (handed_back)
    {
        job.may_have_run = true;
    }
    const bool given_back =
        handed_back || ended.result.outcome == job_outcome::refused;
    if (!given_back || job.may_be_read_late)
    {
        this->finish_job(ended.ticket, ended.result);
        return;
    }
    if (job.recalled && ended.result.reason == recalled_reason)
    {
        // Should the room elsewhere have gone, its earlier place is the best.
        job.tried_holders.erase(job.holder);
        this->counts.add("job_given_back");
    }
    else
    {
        ++job.refusals;
    }
    job.last_refusal = ended.result;
    this->route_job(ended.ticket, job);
}

void job_router::on_link_closed(std::uint64_t link, const instance_view& holder)
{
    this->choice.on_link_closed(link);
    this->loads_at.erase(link);
    disconnected_holder disconnected{
        link, holder, {}, event_loop::now(), std::nullopt};
    for (auto& [ticket, job] : this->open_jobs)
    {
        if (!job.local && job.link == link)
        {
            job.may_have_run = true;
            disconnected.tickets.insert(ticket);
        }
    }
    if (!disconnected.tickets.empty())
    {
        this->disconnected_holders.push_back(std::move(disconnected));
    }
}

std::set<std::uint64_t> job_router::links_with_open_jobs() const
{
    std::set<std::uint64_t> links;
    for (const auto& [ticket, job] : this->open_jobs)
    {
        links.insert(job.link);
    }
    return links;
}

void job_router::write_metrics(metrics_registry& registry) const
{
    registry.set_gauge("open_jobs",
                       static_cast<double>(this->open_jobs.size()));
    this->job_times.write(registry, "job_time_ms");
}

std::uint64_t job_router::submit(job_request request, const job_terms& terms,
                                 job_callback done)
{
    const std::uint64_t ticket = this->next_ticket++;
    const auto earlier =
        std::find_if(this->open_jobs.begin(), this->open_jobs.end(),
                     [&request](const auto& entry)
                     { return entry.second.request.id == request.id; });
    if (earlier != this->open_jobs.end())
    {
        this->continue_job(earlier->first, ticket, terms, std::move(done));
        return ticket;
    }
    open_job job;
    job.request = std::move(request);
    job.terms = terms;
    job.measured = measure(job.request, terms);
    job.contains_nul = contains_nul(job.request, terms);
    job.done = std::move(done);
    job.accepted = event_loop::now();
    open_job& added =
        this->open_jobs.emplace(ticket, std::move(job)).first->second;
    if (this->draining && !this->ends_before_stop(added.request, terms))
    {
        this->finish_job(
            ticket, {job_outcome::refused, "stopping", no_holder_retry_after});
        return ticket;
    }
    this->route_job(ticket, added);
    return ticket;
}

void job_router::continue_job(std::uint64_t earlier, std::uint64_t ticket,
                              const job_terms& terms, job_callback done)
{
    auto entry = this->open_jobs.extract(earlier);
    entry.key() = ticket;
    open_job& job = this->open_jobs.insert(std::move(entry)).position->second;
    const job_callback earlier_done = std::exchange(job.done, std::move(done));
    job.terms = terms;
    job.measured = measure(job.request, terms);
    job.accepted = event_loop::now();
    this->counts.add("job_continued");
    LOG(INFO) << "job: continued for the caller's next attempt; id="
              << job.request.id << " holder=" << job.holder;
    bool sent = true;
    if (this->unrouted.erase(earlier) > 0)
    {
        this->unrouted.insert(ticket);
        sent = false;
    }
    for (disconnected_holder& disconnected : this->disconnected_holders)
    {
        if (disconnected.tickets.erase(earlier) > 0)
        {
            disconnected.tickets.insert(ticket);
            sent = false;
        }
    }
    if (sent)
    {
        this->send_to_holder(ticket, job);
    }
    earlier_done({job_outcome::incomplete, "submitted again", milliseconds(0)});
}

bool job_router::ends_before_stop(const job_request& request,
                                  const job_terms& terms) const
{
    const auto remaining = this->drain_began +
                           this->settings.stop_grace_period() - drain_margin -
                           event_loop::now();
    const auto needed =
        pooled_job::create(request, terms, {}, instant(0)).objective();
    return std::chrono::duration<double>(remaining) >=
           std::chrono::duration<double>(needed) * drain_safety_factor;
}

bool job_router::answer_if_out_of_time(std::uint64_t ticket,
                                       const open_job& job)
{
    if (remaining_terms(job).time_left.count() > 0)
    {
        return false;
    }
    this->unrouted.erase(ticket);
    this->finish_job(
        ticket, {job_outcome::refused, "out of time", no_holder_retry_after});
    return true;
}

void job_router::route_job(std::uint64_t ticket, open_job& job)
{
    if (this->answer_if_out_of_time(ticket, job))
    {
        return;
    }
    const holder_request request = this->request_of(job);
    const std::vector<holder_view> holders = this->suitable_holders(job);
    const holder_decision decision = this->choice.choose(
        holders, request, job.tried_holders, job.refusals, event_loop::now());
    if (!decision.link)
    {
        if (decision.reason == no_holder_reason::no_holder &&
            job.tried_holders.empty() &&
            holders.size() < this->responsive_holders().size())
        {
            this->unrouted.erase(ticket);
            this->finish_job(ticket, {job_outcome::refused,
                                      "no holder takes U+0000 in texts yet",
                                      no_holder_retry_after});
            return;
        }
        this->defer_or_refuse(ticket, job, decision.reason);
        return;
    }
    const std::uint64_t link = *decision.link;
    this->unrouted.erase(ticket);
    this->last_routed = event_loop::now();
    job.link = link;
    job.expected_wait = decision.expected_wait;
    job.load_age = this->load_age(link);
    job.local = link == 0;
    job.holder = job.local ? this->settings.instance()
                           : this->peers.at(link).instance.name;
    job.sent = event_loop::now();
    job.tried_holders.insert(job.holder);
    this->choice.on_sent(link, request, job.sent);
    this->send_to_holder(ticket, job);
}

milliseconds job_router::load_age(std::uint64_t link) const
{
    const auto at = this->loads_at.find(link);
    return at == this->loads_at.end()
               ? milliseconds(0)
               : std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                          at->second);
}

std::vector<holder_view> job_router::responsive_holders() const
{
    std::vector<holder_view> holders;
    if (!this->draining)
    {
        holders.push_back(
            {0, this->settings.instance(), this->settings.domain(),
             this->dispatcher.load(event_loop::now()), milliseconds(0)});
    }
    for (const auto& [link, peer] : this->peers)
    {
        if (!peer.instance.draining && peer.load.total_cpu > 0 &&
            this->mesh.is_responsive(link))
        {
            holders.push_back({link, peer.instance.name, peer.instance.domain,
                               peer.load, this->load_age(link)});
        }
    }
    return holders;
}

std::vector<holder_view> job_router::suitable_holders(const open_job& job) const
{
    std::vector<holder_view> holders = this->responsive_holders();
    if (job.contains_nul)
    {
        std::erase_if(holders,
                      [this](const holder_view& holder) {
                          return holder.link != 0 &&
                                 !this->peers.at(holder.link).accepts_nul;
                      });
    }
    return holders;
}

holder_request job_router::measure(const job_request& request,
                                   const job_terms& terms)
{
    return holder_request::create(
        pooled_job::create(request, terms, {}, instant(0)));
}

holder_request job_router::request_of(const open_job& job)
{
    const job_terms terms = remaining_terms(job);
    holder_request request = job.measured;
    request.waited = terms.waited;
    request.time_left = terms.time_left;
    request.since_sent =
        std::chrono::duration_cast<milliseconds>(event_loop::now() - job.sent);
    return request;
}

void job_router::recall_late_jobs()
{
    const std::vector<holder_view> holders = this->responsive_holders();
    if (holders.size() < 2)
    {
        return;
    }
    std::vector<std::uint64_t> late;
    for (const auto& [ticket, job] : this->open_jobs)
    {
        if (job.recalled || this->unrouted.count(ticket) > 0)
        {
            continue;
        }
        const auto peer = this->peers.find(job.link);
        const bool accepts = job.local || (peer != this->peers.end() &&
                                           peer->second.accepts_recall);
        if (accepts &&
            this->choice.should_recall(holders, job.link, this->request_of(job),
                                       job.tried_holders, event_loop::now()))
        {
            late.push_back(ticket);
        }
        if (late.size() == max_recalls_per_tick)
        {
            break;
        }
    }
    for (const std::uint64_t ticket : late)
    {
        // The recall of a local job may end this or another one.
        const auto at = this->open_jobs.find(ticket);
        if (at != this->open_jobs.end())
        {
            this->recall_job(ticket, at->second);
        }
    }
}

void job_router::recall_job(std::uint64_t ticket, open_job& job)
{
    job.recalled = true;
    this->counts.add("job_recalled");
    LOG(INFO) << "job: recalled; id=" << job.request.id
              << " holder=" << job.holder
              << " waited_ms=" << remaining_terms(job).waited.count();
    const std::string id = job.request.id;
    if (job.local)
    {
        this->dispatcher.recall(id, {0, ticket}, event_loop::now());
        return;
    }
    this->mesh.send(job.link, recall_message{id, ticket});
}

void job_router::send_to_holder(std::uint64_t ticket, const open_job& job)
{
    if (job.local)
    {
        // The dispatcher may answer inside this call, which erases `job`.
        const job_request request = job.request;
        const job_terms terms = this->remaining_terms(job);
        this->dispatcher.submit(request, terms, {0, ticket}, event_loop::now());
        return;
    }
    const auto peer = this->peers.find(job.link);
    this->mesh.send(job.link,
                    submit_message{ticket, job.request,
                                   this->remaining_terms(job),
                                   peer == this->peers.end()
                                       ? 0
                                       : peer->second.instance.server_number});
}

void job_router::defer_or_refuse(std::uint64_t ticket, const open_job& job,
                                 no_holder_reason reason)
{
    const instant now = event_loop::now();
    const auto min_run_time =
        pooled_job::create(job.request, job.terms, {}, instant(0))
            .critical_path();
    const instant latest_start =
        job.accepted + job.terms.time_left - min_run_time;
    const bool holder_expected =
        now - this->last_routed < no_holder_grace_period;
    if (reason == no_holder_reason::no_holder && holder_expected &&
        job.tried_holders.empty() && !this->draining && now < latest_start)
    {
        this->unrouted.insert(ticket);
        return;
    }
    this->unrouted.erase(ticket);
    const job_result no_holder{job_outcome::refused, "no holder",
                               no_holder_retry_after};
    const job_result result = job.last_refusal.value_or(no_holder);
    this->finish_job(ticket, result);
}

void job_router::retry_unrouted()
{
    const std::set<std::uint64_t> tickets = this->unrouted;
    for (const std::uint64_t ticket : tickets)
    {
        const auto at = this->open_jobs.find(ticket);
        if (at == this->open_jobs.end())
        {
            this->unrouted.erase(ticket);
            continue;
        }
        this->route_job(ticket, at->second);
    }
}

job_terms job_router::remaining_terms(const open_job& job)
{
    job_terms terms = job.terms;
    terms.waited = std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                            job.accepted);
    terms.time_left = std::max(milliseconds(0), terms.time_left - terms.waited);
    return terms;
}

void job_router::finish_job(std::uint64_t ticket, const job_result& reported)
{
    const auto at = this->open_jobs.find(ticket);
    if (at == this->open_jobs.end())
    {
        return;
    }
    job_result result = reported;
    if (result.outcome == job_outcome::handed_back ||
        (result.outcome == job_outcome::refused && at->second.may_have_run))
    {
        // An earlier holder may have run the job, so the refusal by a later one
        // does not mean that it has not run.
        result.outcome = job_outcome::incomplete;
    }
    const auto total = std::chrono::duration_cast<milliseconds>(
        event_loop::now() - at->second.accepted);
    LOG(INFO) << "job: answered; id=" << at->second.request.id
              << " outcome=" << outcome_name(result.outcome) << " reason=\""
              << result.reason << "\" total_ms=" << total.count()
              << " holder=" << at->second.holder
              << " holders=" << at->second.tried_holders.size()
              << " expected_wait_ms=" << at->second.expected_wait.count()
              << " load_age_ms=" << at->second.load_age.count()
              << " config=" << this->routes.version();
    this->job_times.add(total);
    this->count_overload(at->second, result, total);
    this->counts.add(std::string("job_") + outcome_name(result.outcome));
    const double objective =
        static_cast<double>(std::max<long>(1, at->second.terms.target.count()));
    this->metrics.on_job_finished(outcome_name(result.outcome),
                                  static_cast<double>(total.count()) /
                                      objective);
    const job_callback done = std::move(at->second.done);
    this->open_jobs.erase(at);
    done(result);
}

void job_router::count_overload(const open_job& job, const job_result& result,
                                milliseconds total)
{
    const bool late = result.outcome == job_outcome::completed &&
                      total > job.measured.objective;
    if (!late && result.outcome != job_outcome::refused)
    {
        return;
    }
    std::uint64_t free_cpu = 0;
    for (const holder_view& holder : this->responsive_holders())
    {
        free_cpu += holder.load.free_cpu;
    }
    const char* outcome = late                                ? "late"
                          : result.reason == displaced_reason ? "displaced"
                                                              : "refused";
    this->shed_jobs.add(
        {outcome, job.terms.route, job.terms.priority, result.reason},
        free_cpu);
}

void job_router::on_caller_disconnected(std::uint64_t ticket)
{
    const auto at = this->open_jobs.find(ticket);
    if (at == this->open_jobs.end())
    {
        return;
    }
    const open_job job = std::move(at->second);
    this->open_jobs.erase(at);
    this->counts.add("job_left");
    LOG(INFO) << "job: caller left; id=" << job.request.id;
    if (job.local)
    {
        this->dispatcher.cancel_attempt(job.request.id, {0, ticket},
                                        "caller left", event_loop::now());
        return;
    }
    this->mesh.send(job.link,
                    cancel_message{job.request.id, "caller left", ticket});
}

bool job_router::cancel(const std::string& job, const job_result& result)
{
    const auto at = std::find_if(this->open_jobs.begin(), this->open_jobs.end(),
                                 [&job](const auto& entry)
                                 { return entry.second.request.id == job; });
    if (at == this->open_jobs.end())
    {
        return false;
    }
    this->finish_job(at->first, result);
    return true;
}

void job_router::resubmit_orphaned_jobs(const instance_view& self)
{
    if (this->disconnected_holders.empty())
    {
        return;
    }
    std::vector<instance_view> instances;
    for (const auto& [link, peer] : this->peers)
    {
        instances.push_back(peer.instance);
    }
    instances.push_back(self);
    std::vector<std::pair<disconnected_holder, resubmission_basis>>
        resubmittable;
    std::erase_if(this->disconnected_holders,
                  [&](disconnected_holder& disconnected)
                  {
                      const auto basis =
                          this->find_basis(disconnected, instances);
                      if (basis)
                      {
                          resubmittable.emplace_back(disconnected, *basis);
                      }
                      return basis.has_value();
                  });
    for (const auto& [disconnected, basis] : resubmittable)
    {
        this->resubmit(disconnected, basis);
    }
}

bool job_router::has_restarted(const disconnected_holder& disconnected) const
{
    // A link that was opened earlier may be left from a boot before that of the
    // holder, whose end has not been noticed.
    return std::any_of(this->peers.upper_bound(disconnected.link),
                       this->peers.end(),
                       [&disconnected](const auto& entry)
                       {
                           const instance_view& peer = entry.second.instance;
                           return peer.name == disconnected.instance.name &&
                                  peer.boot != disconnected.instance.boot;
                       });
}

std::optional<job_router::resubmission_basis>
job_router::find_basis(disconnected_holder& disconnected,
                       const std::vector<instance_view>& instances) const
{
    const instant now = event_loop::now();
    const bool rejoined = std::any_of(
        instances.begin(), instances.end(),
        [&disconnected](const instance_view& instance) {
            return pool_election::same_holder(disconnected.instance, instance);
        });
    if (rejoined)
    {
        return resubmission_basis::rejoined;
    }
    if (!disconnected.restarted && this->has_restarted(disconnected))
    {
        disconnected.restarted = now;
    }
    if (pool_election::all_clean(disconnected.instance, instances))
    {
        return resubmission_basis::pools_clean;
    }
    const bool knows_its_runs =
        std::any_of(instances.begin(), instances.end(),
                    [&](const instance_view& instance)
                    {
                        return pool_election::knows_its_runs(
                            disconnected.instance, instance, instances);
                    });
    if (knows_its_runs)
    {
        return resubmission_basis::rejoined;
    }
    if (disconnected.restarted &&
        now - *disconnected.restarted > this->settings.lease_expiry())
    {
        return resubmission_basis::leases_ended;
    }
    return std::nullopt;
}

void job_router::resubmit(const disconnected_holder& disconnected,
                          resubmission_basis basis)
{
    const auto closed_for = std::chrono::duration_cast<milliseconds>(
        event_loop::now() - disconnected.since);
    for (const std::uint64_t ticket : disconnected.tickets)
    {
        const auto at = this->open_jobs.find(ticket);
        if (at == this->open_jobs.end())
        {
            continue;
        }
        this->counts.add("job_sent_again");
        LOG(INFO) << "job: resubmitted after the link to its holder closed; id="
                  << at->second.request.id
                  << " holder=" << disconnected.instance.name
                  << " holder_boot=" << disconnected.instance.boot
                  << " basis=" << basis_name(basis)
                  << " closed_ms=" << closed_for.count();
        at->second.tried_holders.clear();
        at->second.refusals = 0;
        if (basis == resubmission_basis::rejoined)
        {
            this->return_to_holder(ticket, at->second, disconnected);
            continue;
        }
        this->route_job(ticket, at->second);
    }
}

void job_router::return_to_holder(std::uint64_t ticket, open_job& job,
                                  const disconnected_holder& disconnected)
{
    if (this->answer_if_out_of_time(ticket, job))
    {
        return;
    }
    const instance_view& before = disconnected.instance;
    const auto holder =
        std::find_if(this->peers.begin(), this->peers.end(),
                     [&before](const auto& peer)
                     {
                         return peer.second.instance.name == before.name &&
                                peer.second.instance.boot == before.boot;
                     });
    if (holder == this->peers.end())
    {
        // The link has closed while other jobs were sent over it.
        disconnected_holder again = disconnected;
        again.tickets = {ticket};
        this->disconnected_holders.push_back(std::move(again));
        return;
    }
    job.link = holder->first;
    job.may_be_read_late = !this->mesh.discards_closed_links(job.link);
    job.holder = before.name;
    job.sent = event_loop::now();
    job.tried_holders.insert(job.holder);
    this->send_to_holder(ticket, job);
}

const char* job_router::basis_name(resubmission_basis basis)
{
    switch (basis)
    {
    case resubmission_basis::rejoined:
        return "rejoined";
    case resubmission_basis::pools_clean:
        return "pools_clean";
    case resubmission_basis::leases_ended:
        break;
    }
    return "leases_ended";
}

void job_router::expire_jobs()
{
    const instant now = event_loop::now();
    std::vector<std::uint64_t> expired;
    for (const auto& disconnected : this->disconnected_holders)
    {
        for (const std::uint64_t ticket : disconnected.tickets)
        {
            const auto at = this->open_jobs.find(ticket);
            if (at != this->open_jobs.end() &&
                now - at->second.accepted >= at->second.terms.time_left)
            {
                expired.push_back(ticket);
            }
        }
    }
    for (const std::uint64_t ticket : expired)
    {
        this->finish_job(
            ticket, {job_outcome::incomplete, "holder lost", milliseconds(0)});
    }
}

} // namespace jujubedrum
