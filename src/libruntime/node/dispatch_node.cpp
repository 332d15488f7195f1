#include "node/dispatch_node.hpp"

#include "logging.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Interval between checks of waiting jobs, overdue runs and deadlines.
constexpr milliseconds pump_interval{20};
constexpr milliseconds election_interval{100};
/// Three announcements fit into `peer_mesh::member_lifetime`, and the store
/// keeps at least 20 s of history.
constexpr seconds announce_interval{5};
/// Interval between log lines on jobs that were refused, displaced or late.
constexpr seconds overload_report_interval{10};
/// Time in which a peer submits its open jobs again after one of its links has
/// closed: the next tick of 20 ms after it has read a heartbeat on another one.
constexpr milliseconds resubmission_time{150};
/// Delay after which a caller refused by a stopping instance may try another.
constexpr milliseconds stopping_retry_after{500};

dispatch_options options_of(const node_settings& settings)
{
    dispatch_options options;
    options.lease_expiry = settings.lease_expiry();
    options.far_factor = settings.far_factor();
    options.server_trust = settings.server_trust();
    options.order_by_caller_cost = settings.order_by_caller_cost();
    return options;
}

/// The result of a job that is submitted after its cancel. Tasks of it may have
/// run before.
job_result cancelled_result()
{
    return {job_outcome::incomplete, "cancelled", milliseconds(0)};
}

} // namespace
dispatch_node::dispatch_node(event_loop& events, const node_settings& values,
                             std::uint64_t own_boot, shared_store& shared,
                             channel_factory& factory,
                             metrics_registry& registry)
    : loop(events)
    , settings(values)
    , boot(own_boot)
    , store(shared)
    , metrics(registry)
    , pools(events, this->settings, own_boot,
            {shared, factory, this->dispatcher, this->mesh, this->peers,
             registry, this->counts},
            [this]
            {
                this->refresh_heartbeat();
                this->mesh.send_heartbeat();
            })
    , dispatcher(options_of(values), this->pools, *this)
    , mesh(events,
           {values.instance(), values.announced_peers().address,
            values.announced_peers().port, own_boot, values.domain(),
            values.cpu(), values.link_kbps()},
           *this)
    , router(this->settings, own_boot, this->table, this->peers, this->mesh,
             this->dispatcher, registry, this->counts)
{
    // Nothing starts before the operator's records are known.
    this->dispatcher.set_evacuated_domains(this->evacuated, event_loop::now());
}

dispatch_node::~dispatch_node()
{
    this->stop();
}

bool dispatch_node::start()
{
    this->refresh_heartbeat();
    if (!this->mesh.listen(this->settings.peers().address,
                           this->settings.peers().port))
    {
        return false;
    }
    this->store.watch(*this);
    this->announce_self();
    this->on_pump_timer();
    this->on_election_timer();
    this->loop.after(overload_report_interval,
                     [this] { this->on_overload_timer(); });
    return true;
}

void dispatch_node::announce_self()
{
    this->loop.after(announce_interval, [this] { this->announce_self(); });
    this->store.announce({this->settings.instance(),
                          this->settings.announced_peers().address,
                          this->settings.announced_peers().port, this->boot,
                          this->settings.domain(), this->settings.cpu(),
                          this->settings.link_kbps()});
}

void dispatch_node::refresh_heartbeat()
{
    instance_view view = this->pools.self_view();
    view.evacuations = this->evacuations.records();
    view.evacuations_known = this->evacuations.known();
    this->mesh.set_heartbeat({std::move(view),
                              this->dispatcher.load(event_loop::now()),
                              milliseconds(0)});
}

bool dispatch_node::ready() const
{
    if (this->draining || this->table.version() == 0)
    {
        return false;
    }
    return !this->pools.holds().empty() ||
           std::any_of(this->peers.begin(), this->peers.end(),
                       [](const auto& entry) {
                           return !entry.second.instance.draining &&
                                  entry.second.load.total_cpu > 0;
                       });
}

std::uint64_t dispatch_node::submit(job_request request, const job_terms& terms,
                                    job_router::job_callback done)
{
    if (this->cancelled.contains(request.id, event_loop::now()))
    {
        LOG(INFO) << "job: submitted after its cancel; id=" << request.id;
        done(cancelled_result());
        return 0;
    }
    return this->router.submit(std::move(request), terms, std::move(done));
}

void dispatch_node::on_caller_disconnected(std::uint64_t ticket)
{
    this->router.on_caller_disconnected(ticket);
}

bool dispatch_node::cancel(const std::string& job)
{
    LOG(INFO) << "job: cancelled; id=" << job;
    const bool here = this->on_cancel(job, true);
    this->mesh.broadcast(cancel_message{job, "cancelled", 0});
    return here;
}

bool dispatch_node::on_cancel(const std::string& job, bool own)
{
    const instant now = event_loop::now();
    this->cancelled.add(job, own, now);
    const bool pooled = this->dispatcher.cancel(job, "cancelled", now);
    const bool routed = this->router.cancel(job, cancelled_result());
    return pooled || routed;
}

void dispatch_node::job_ended(const job_origin& origin,
                              const job_result& result,
                              const job_report& report)
{
    LOG(INFO) << "pool: job ended; id=" << report.id
              << " outcome=" << outcome_name(result.outcome) << " reason=\""
              << result.reason << "\" queued_ms=" << report.queued.count()
              << " total_ms=" << report.total.count()
              << " objective_ms=" << report.objective.count()
              << " tasks=" << report.tasks << " starts=" << report.starts
              << " unconfirmed_stops=" << report.unconfirmed_stops
              << " last_server=" << report.last_server
              << " expected_wait_ms=" << report.expected_wait.count()
              << " free_cpu=" << report.free_cpu
              << " servers=" << report.servers;
    this->queue_times.add(report.queued);
    this->count_overload(result, report);
    if (origin.instance != 0)
    {
        if (const auto key = this->key_of(origin))
        {
            this->ended_jobs.add(*key, result, event_loop::now());
        }
        this->mesh.send(
            origin.instance,
            result_message{origin.ticket, result,
                           this->dispatcher.load(event_loop::now())});
        return;
    }
    this->on_message(0, result_message{origin.ticket, result, {}});
}

std::optional<submission_key>
dispatch_node::key_of(const job_origin& origin) const
{
    const auto closed = this->closed_origins.find(origin.instance);
    if (closed != this->closed_origins.end())
    {
        return submission_key{closed->second.name, closed->second.boot,
                              origin.ticket};
    }
    const auto peer = this->peers.find(origin.instance);
    if (peer == this->peers.end())
    {
        return std::nullopt;
    }
    const instance_view& instance = peer->second.instance;
    return submission_key{instance.name, instance.boot, origin.ticket};
}

bool dispatch_node::answer_ended_job(std::uint64_t link,
                                     const submit_message& submitted)
{
    const auto key = this->key_of({link, submitted.ticket});
    const auto result =
        key ? this->ended_jobs.find(*key, event_loop::now()) : std::nullopt;
    if (!result)
    {
        return false;
    }
    LOG(INFO) << "pool: job had ended, its result is sent again; id="
              << submitted.request.id
              << " outcome=" << outcome_name(result->outcome);
    this->mesh.send(link,
                    result_message{submitted.ticket, *result,
                                   this->dispatcher.load(event_loop::now())});
    return true;
}

void dispatch_node::on_heartbeat(std::uint64_t link,
                                 const heartbeat_message& heartbeat)
{
    const bool added = this->peers.count(link) == 0;
    if (added)
    {
        LOG(INFO) << "peer: up; name=" << heartbeat.instance.name
                  << " domain=" << heartbeat.instance.domain
                  << " boot=" << heartbeat.instance.boot;
        // Those of earlier versions send no confirmations.
        if (heartbeat.sent_at.count() != 0)
        {
            this->dispatcher.require_confirmation(link);
        }
        // It may have missed them: it was suspended, cut off or not running.
        for (const std::string& job :
             this->cancelled.own_jobs(event_loop::now()))
        {
            this->mesh.send(link, cancel_message{job, "cancelled", 0});
        }
    }
    const std::uint64_t earlier_number =
        std::exchange(this->peers[link], heartbeat).instance.server_number;
    if (heartbeat.instance.server_number != earlier_number &&
        this->router.links_with_open_jobs().count(link) > 0)
    {
        this->mesh.send(link, seen_message{heartbeat.instance.server_number});
    }
    this->router.on_load(link);
    this->evacuations.add_peer(heartbeat.instance.evacuations,
                               heartbeat.instance.evacuations_known);
    this->apply_evacuations(heartbeat.instance.name);
    this->pools.on_heartbeat(heartbeat.instance, added);
}

void dispatch_node::on_message(std::uint64_t link,
                               const dispatch_message& message)
{
    if (const auto* submitted = std::get_if<submit_message>(&message))
    {
        const std::string& id = submitted->request.id;
        if (submitted->seen_server_number != 0)
        {
            this->dispatcher.set_seen_number(link,
                                             submitted->seen_server_number);
        }
        if (this->answer_ended_job(link, *submitted))
        {
            return;
        }
        if (this->cancelled.contains(id, event_loop::now()))
        {
            LOG(INFO) << "pool: submitted after its cancel; id=" << id;
            this->mesh.send(
                link,
                result_message{submitted->ticket, cancelled_result(), {}});
            return;
        }
        if (this->draining && !this->dispatcher.is_open(id))
        {
            // After a refusal another holder may start the job at once.
            const job_outcome outcome = this->dispatcher.has_job(id)
                                            ? job_outcome::incomplete
                                            : job_outcome::refused;
            this->mesh.send(link, result_message{submitted->ticket,
                                                 {outcome, "stopping",
                                                  stopping_retry_after},
                                                 {}});
            return;
        }
        this->dispatcher.submit(submitted->request, submitted->terms,
                                {link, submitted->ticket}, event_loop::now());
        return;
    }
    if (const auto* ended = std::get_if<result_message>(&message))
    {
        const auto peer = this->peers.find(link);
        if (peer != this->peers.end())
        {
            peer->second.load = ended->load;
            this->router.on_load(link);
        }
        this->router.on_result(link, *ended);
        return;
    }
    if (const auto* cancel = std::get_if<cancel_message>(&message))
    {
        if (cancel->ticket == 0)
        {
            this->on_cancel(cancel->id, false);
            return;
        }
        this->dispatcher.cancel_attempt(cancel->id, {link, cancel->ticket},
                                        cancel->reason, event_loop::now());
        return;
    }
    if (const auto* seen = std::get_if<seen_message>(&message))
    {
        this->dispatcher.set_seen_number(link, seen->server_number);
        this->dispatcher.pump(event_loop::now());
        return;
    }
    if (const auto* confirmed = std::get_if<confirm_message>(&message))
    {
        this->dispatcher.confirm_origin(link, confirmed->alive_at,
                                        event_loop::now());
        return;
    }
    if (const auto* recalled = std::get_if<recall_message>(&message))
    {
        this->dispatcher.recall(recalled->id, {link, recalled->ticket},
                                event_loop::now());
        return;
    }
    if (const auto* released = std::get_if<release_message>(&message))
    {
        this->pools.on_release(link, *released);
    }
}

void dispatch_node::on_link_closed(std::uint64_t link, const std::string& name,
                                   const std::string& reason)
{
    if (this->stopped)
    {
        return;
    }
    this->counts.add("peer_lost");
    LOG(INFO) << "peer: lost; name=" << name << " reason=\"" << reason << "\"";
    const heartbeat_message closed_peer = this->peers[link];
    this->peers.erase(link);
    this->cancel_jobs_of_link(link, closed_peer);
    this->router.on_link_closed(link, closed_peer.instance);
    this->pools.on_link_closed(link);
    this->router.resubmit_orphaned_jobs(this->pools.self_view());
}

void dispatch_node::cancel_jobs_of_link(std::uint64_t link,
                                        const heartbeat_message& closed_peer)
{
    const instance_boot origin{closed_peer.instance.name,
                               closed_peer.instance.boot};
    const bool linked = std::any_of(
        this->peers.begin(), this->peers.end(),
        [&origin](const auto& entry)
        {
            const instance_view& peer = entry.second.instance;
            return peer.name == origin.name && peer.boot == origin.boot;
        });
    // Without confirmations nothing else ends the job of a caller that leaves.
    const bool confirms = closed_peer.sent_at.count() != 0;
    if (!linked || !confirms)
    {
        this->dispatcher.cancel_origin(link, "accepting instance lost",
                                       event_loop::now());
        return;
    }
    this->closed_origins.emplace(link, origin);
    this->loop.after(resubmission_time,
                     [this, link]
                     {
                         this->closed_origins.erase(link);
                         this->dispatcher.cancel_origin(
                             link, "accepting instance lost",
                             event_loop::now());
                     });
}

void dispatch_node::on_peer_failed(const std::string& name)
{
    if (this->stopped)
    {
        return;
    }
    LOG(INFO) << "peer: did not reconnect; name=" << name;
    this->pools.elect();
}

std::set<std::uint64_t> dispatch_node::links_with_open_jobs() const
{
    std::set<std::uint64_t> links = this->dispatcher.open_job_origins();
    links.merge(this->router.links_with_open_jobs());
    return links;
}

std::set<std::uint64_t> dispatch_node::links_to_holders() const
{
    return this->router.links_with_open_jobs();
}

void dispatch_node::on_configuration(route_document document)
{
    const std::uint64_t version = document.version;
    if (this->table.apply(std::move(document)))
    {
        LOG(INFO) << "config: in force; version=" << version
                  << " routes=" << this->table.size();
        this->dispatcher.set_priorities(this->table.priorities());
    }
}

void dispatch_node::on_evacuation(const evacuation& record)
{
    this->evacuations.add(record);
    this->apply_evacuations("store");
}

void dispatch_node::on_evacuated_domains(const std::set<std::string>& domains,
                                         std::uint64_t end)
{
    this->evacuations.add_list(domains, end);
    this->apply_evacuations("store");
}

void dispatch_node::apply_evacuations(const std::string& source)
{
    auto current = this->evacuations.evacuated();
    if (this->stopped || current == this->evacuated)
    {
        return;
    }
    const auto earlier = std::exchange(this->evacuated, std::move(current))
                             .value_or(std::set<std::string>());
    for (const std::string& domain : *this->evacuated)
    {
        if (earlier.count(domain) == 0)
        {
            this->counts.add("domain_evacuated");
            LOG(INFO) << "evacuation: no new tasks in the domain; domain="
                      << domain
                      << " offset=" << this->evacuations.offset_of(domain)
                      << " source=" << source;
        }
    }
    for (const std::string& domain : earlier)
    {
        if (this->evacuated->count(domain) == 0)
        {
            this->counts.add("domain_returned");
            LOG(INFO) << "evacuation: domain back in service; domain=" << domain
                      << " offset=" << this->evacuations.offset_of(domain)
                      << " source=" << source;
        }
    }
    this->dispatcher.set_evacuated_domains(this->evacuated, event_loop::now());
    this->refresh_heartbeat();
    // The free capacity of holders has changed. The others inform their peers
    // with the next heartbeat, which is due within 2 s.
    if (!this->pools.holds().empty())
    {
        this->mesh.send_heartbeat();
    }
}

void dispatch_node::on_servers(const std::vector<server_change>& changes)
{
    this->pools.on_servers(changes);
}

void dispatch_node::on_server_ids(const std::set<std::string>& ids)
{
    this->pools.on_server_ids(ids);
}

void dispatch_node::on_members(const std::vector<member_record>& members)
{
    this->mesh.on_members(members);
    this->pools.on_members_read();
}

void dispatch_node::on_store_state(bool reachable, const std::string& reason)
{
    this->pools.on_store_state(reachable, reason);
}

void dispatch_node::on_pump_timer()
{
    if (this->stopped)
    {
        return;
    }
    this->loop.after(pump_interval, [this] { this->on_pump_timer(); });
    this->dispatcher.pump(event_loop::now());
    this->router.tick(this->pools.self_view());
    if (this->draining)
    {
        this->dispatcher.hand_back_unservable(event_loop::now());
        this->pools.release_idle_servers();
    }
}

void dispatch_node::on_election_timer()
{
    if (this->stopped)
    {
        return;
    }
    this->loop.after(election_interval, [this] { this->on_election_timer(); });
    this->pools.tick();
    this->refresh_heartbeat();
    // Other instances' jobs use new servers only after they have seen them.
    if (this->sent_server_number != this->pools.server_number())
    {
        this->sent_server_number = this->pools.server_number();
        this->mesh.send_heartbeat();
    }
}

void dispatch_node::count_overload(const job_result& result,
                                   const job_report& report)
{
    const bool late = result.outcome == job_outcome::completed &&
                      report.total > report.objective;
    // A recalled job is answered by its accepting instance.
    const bool recalled = result.reason == "recalled";
    if (late || (result.outcome == job_outcome::refused && !recalled))
    {
        const char* outcome = late                           ? "late"
                              : result.reason == "displaced" ? "displaced"
                                                             : "refused";
        this->held_overload.add({outcome, "", report.priority, result.reason},
                                report.free_cpu);
    }
}

void dispatch_node::on_overload_timer()
{
    if (this->stopped)
    {
        return;
    }
    this->loop.after(overload_report_interval,
                     [this] { this->on_overload_timer(); });
    const instant now = event_loop::now();
    const std::string accepted = this->router.overload().report();
    const std::string held = this->held_overload.report();
    const dispatch_load load = this->dispatcher.load(now);
    const std::size_t distrusted = this->dispatcher.distrusted_servers(now);
    if (accepted.empty() && held.empty() && load.waiting_cpu == 0 &&
        this->router.waiting() == 0 && distrusted == 0)
    {
        return;
    }
    LOG(INFO) << "load: accepted here: " << (accepted.empty() ? "-" : accepted)
              << "; held here: " << (held.empty() ? "-" : held)
              << "; waiting_cpu=" << load.waiting_cpu
              << " free_cpu=" << load.free_cpu
              << " without_holder=" << this->router.waiting()
              << " distrusted_servers=" << distrusted;
}

void dispatch_node::write_overload_metrics(const dispatch_load& load)
{
    for (const overload_counts* counted :
         {&this->router.overload(), &this->held_overload})
    {
        const std::string side = counted == &this->held_overload
                                     ? "at=\"holder\","
                                     : "at=\"entry\",";
        for (const auto& [key, entry] : counted->totals())
        {
            const std::string labels = side + overload_counts::labels(key);
            this->metrics.set_counter("shed_jobs_total", labels, entry.count);
            this->metrics.set_counter("shed_jobs_free_cpu_milli_sum", labels,
                                      entry.free_cpu);
        }
    }
    // A priority without waiting jobs is not part of the load.
    for (auto& [priority, cpu] : this->waiting_by_priority)
    {
        cpu = 0;
    }
    for (const auto& [priority, cpu] : load.waiting_by_priority)
    {
        this->waiting_by_priority[priority] = cpu;
    }
    for (const auto& [priority, cpu] : this->waiting_by_priority)
    {
        this->metrics.set_gauge("waiting_cpu_milli",
                                "priority=\"" + std::to_string(priority) + "\"",
                                static_cast<double>(cpu));
    }
    this->metrics.set_gauge("jobs_without_holder",
                            static_cast<double>(this->router.waiting()));
    this->metrics.set_gauge(
        "servers_distrusted",
        static_cast<double>(
            this->dispatcher.distrusted_servers(event_loop::now())));
}

void dispatch_node::drain()
{
    if (this->draining)
    {
        return;
    }
    this->draining = true;
    LOG(INFO) << "node: draining; open_jobs=" << this->router.open()
              << " pools=" << this->pools.holds().size();
    this->router.drain();
    this->pools.drain();
    this->refresh_heartbeat();
    this->mesh.send_heartbeat();
}

bool dispatch_node::drained() const
{
    return this->router.open() == 0 && this->dispatcher.idle() &&
           this->pools.servers_held() == 0;
}

void dispatch_node::stop()
{
    if (this->stopped)
    {
        return;
    }
    this->stopped = true;
    this->router.stop();
    this->pools.stop();
    this->mesh.stop();
}

void dispatch_node::collect_metrics()
{
    const dispatch_load load = this->dispatcher.load(event_loop::now());
    this->metrics.set_gauge("pool_jobs",
                            static_cast<double>(this->dispatcher.open_jobs()));
    this->metrics.set_gauge("pools_held",
                            static_cast<double>(this->pools.holds().size()));
    this->metrics.set_gauge("servers_held",
                            static_cast<double>(this->pools.servers_held()));
    this->metrics.set_gauge("peers", static_cast<double>(this->peers.size()));
    this->metrics.set_gauge("store_reachable",
                            this->pools.is_store_reachable() ? 1 : 0);
    this->metrics.set_gauge("config_version",
                            static_cast<double>(this->table.version()));
    this->metrics.set_gauge("cpu_milli", "state=\"total\"",
                            static_cast<double>(load.total_cpu));
    this->metrics.set_gauge("cpu_milli", "state=\"free\"",
                            static_cast<double>(load.free_cpu));
    this->metrics.set_gauge("cpu_milli", "state=\"waiting\"",
                            static_cast<double>(load.waiting_cpu));
    this->metrics.set_gauge("evacuations_known",
                            this->evacuations.known() ? 1 : 0);
    this->metrics.set_gauge(
        "evacuated_domains",
        this->evacuated ? static_cast<double>(this->evacuated->size()) : 0);
    this->counts.write(this->metrics);
    this->router.write_metrics(this->metrics);
    this->queue_times.write(this->metrics, "queue_time_ms");
    this->write_overload_metrics(load);
}

std::string dispatch_node::dump() const
{
    const instant now = event_loop::now();
    const dispatch_load load = this->dispatcher.load(now);
    nlohmann::json out{{"instance", this->settings.instance()},
                       {"domain", this->settings.domain()},
                       {"boot", this->boot},
                       {"draining", this->draining},
                       {"ready", this->ready()},
                       {"config_version", this->table.version()},
                       {"store_reachable", this->pools.is_store_reachable()},
                       {"open_jobs", this->router.open()},
                       {"pool_jobs", this->dispatcher.open_jobs()},
                       {"servers_known", this->pools.servers_known()},
                       {"servers_held", this->pools.servers_held()},
                       {"servers_reachable", this->pools.servers_reachable()},
                       {"total_cpu", load.total_cpu},
                       {"free_cpu", load.free_cpu},
                       {"waiting_cpu", load.waiting_cpu},
                       {"mean_run_ms", load.mean_run_ms}};
    out["pools"] = nlohmann::json::array();
    for (const auto& [pool, hold] : this->pools.holds())
    {
        out["pools"].push_back({{"domain", pool.domain},
                                {"shard", pool.shard},
                                {"token", hold.token}});
    }
    out["evacuations_known"] = this->evacuations.known();
    out["evacuated_domains"] =
        this->evacuated.value_or(std::set<std::string>());
    out["peers"] = nlohmann::json::array();
    for (const auto& [link, peer] : this->peers)
    {
        out["peers"].push_back({{"name", peer.instance.name},
                                {"domain", peer.instance.domain},
                                {"draining", peer.instance.draining},
                                {"free_cpu", peer.load.free_cpu}});
    }
    // The names come from messages of peers and may not be UTF-8.
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace jujubedrum
