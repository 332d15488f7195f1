#include "membership/member_table.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_superseded = 16;
constexpr std::size_t max_death_queries = 256;
constexpr std::size_t max_tombstones = 1024;

// Relative heartbeat rates. Slots are divided within a failure domain, so a
// failure in the own domain has to be detected sooner.
constexpr std::uint64_t other_domain_weight = 1;
constexpr std::uint64_t own_domain_weight = 3;

template <typename Container, typename Value>
bool contains(const Container& values, const Value& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

void supersede(peer_record& peer, std::uint64_t incarnation)
{
    if (peer.superseded.size() >= max_superseded)
    {
        peer.superseded.erase(peer.superseded.begin());
    }
    peer.superseded.push_back(incarnation);
}

bool is_suspected(peer_state state)
{
    return state == peer_state::suspect || state == peer_state::unreachable;
}

bool is_live(peer_state state)
{
    return state == peer_state::alive || state == peer_state::suspect;
}

} // namespace

member_table::member_table(instance_info self, std::uint64_t incarnation,
                           member_options options)
    : own_info(std::move(self))
    , incarnation(incarnation)
    , options(options)
{
}

void member_table::on_list(const instance_page& page, instant requested_at)
{
    // A full page may have a lower version, after the list service has lost its
    // state.
    const bool older = page.version < this->version && !page.full;
    if (this->has_list && (older || requested_at < this->list_requested_at))
    {
        return;
    }
    this->list_requested_at = requested_at;
    if (page.full)
    {
        this->mark_missing_removed(page, requested_at);
    }
    for (const instance_info& info : page.changes)
    {
        this->apply_change(info, requested_at);
    }
    this->stop_use_of_malformed(page);
    this->version = page.version;
    this->has_list = true;
    this->limit_tombstones();
}

void member_table::mark_missing_removed(const instance_page& page,
                                        instant requested_at)
{
    std::set<std::string> names(page.malformed.begin(), page.malformed.end());
    if (names.contains(""))
    {
        // Any instance may be the one whose name is unreadable, and removal
        // counts as proof that an instance has ended.
        return;
    }
    for (const instance_info& info : page.changes)
    {
        names.insert(info.name);
    }
    const std::size_t dropped =
        std::erase_if(this->servers, [&names](const auto& server)
                      { return !names.contains(server.first); });
    this->change_counter += dropped > 0 ? 1 : 0;
    for (auto& [name, peer] : this->records)
    {
        if (!names.contains(name) && peer.info.state != listed_state::removed)
        {
            peer.info.state = listed_state::removed;
            ++this->change_counter;
            this->update_state(peer, requested_at);
        }
    }
}

void member_table::stop_use_of_malformed(const instance_page& page)
{
    for (const std::string& name : page.malformed)
    {
        const auto at = this->servers.find(name);
        if (at != this->servers.end() && at->second.state == listed_state::live)
        {
            at->second.state = listed_state::leaving;
            ++this->change_counter;
        }
    }
}

void member_table::apply_change(const instance_info& info, instant requested_at)
{
    if (info.name == this->own_info.name)
    {
        this->change_counter += this->own_info.weight != info.weight ? 1 : 0;
        this->own_info.weight = info.weight;
        return;
    }
    if (info.role == instance_role::entry)
    {
        this->apply_entry(info, requested_at);
        return;
    }
    const auto at = this->servers.find(info.name);
    if (info.state == listed_state::removed)
    {
        this->change_counter += this->servers.erase(info.name);
        return;
    }
    if (at == this->servers.end() ? this->servers.size() < max_listed_instances
                                  : at->second != info)
    {
        this->servers[info.name] = info;
        ++this->change_counter;
    }
}

void member_table::apply_entry(const instance_info& info, instant requested_at)
{
    const auto [at, added] = this->records.try_emplace(info.name);
    peer_record& peer = at->second;
    if (added)
    {
        peer.no_contact_since = requested_at;
        // The first positions are spread by a hash that differs between
        // senders, so that not all instances send to the same peer.
        constexpr std::uint64_t steps = 1U << 16U;
        const std::uint64_t step =
            stable_hash(this->own_info.name + "/" + info.name) % steps;
        peer.info.domain = info.domain;
        peer.schedule_position =
            this->last_position +
            static_cast<double>(step) /
                static_cast<double>(steps * this->heartbeat_weight(peer));
        // Peers on the first page are assumed to have been running for some
        // time. One that joins later owns slots only after its heartbeats.
        peer.owns_slots = !this->has_list && info.state == listed_state::live;
    }
    else if (peer.info == info)
    {
        return;
    }
    const instance_info before = std::exchange(peer.info, info);
    if (info.state == listed_state::removed && !added)
    {
        // The description is kept: the process may still answer at its address.
        peer.info = before;
        peer.info.state = listed_state::removed;
    }
    if (before.state == listed_state::removed && !added)
    {
        peer.no_contact_since = std::max(peer.no_contact_since, requested_at);
    }
    ++this->change_counter;
    this->update_state(peer, requested_at);
}

void member_table::limit_tombstones()
{
    const auto is_removed = [](const auto& entry)
    { return entry.second.info.state == listed_state::removed; };
    std::size_t count =
        std::count_if(this->records.begin(), this->records.end(), is_removed);
    while (count > max_tombstones ||
           (count > 0 && this->records.size() > 2 * max_listed_instances))
    {
        auto oldest = this->records.end();
        for (auto at = this->records.begin(); at != this->records.end(); ++at)
        {
            if (is_removed(*at) &&
                (oldest == this->records.end() ||
                 at->second.last_contact < oldest->second.last_contact))
            {
                oldest = at;
            }
        }
        this->records.erase(oldest);
        --count;
    }
}

peer_record* member_table::find_sender(const peer_digest& digest)
{
    const auto at = this->records.find(digest.name);
    if (at == this->records.end() || digest.incarnation == 0 ||
        contains(at->second.superseded, digest.incarnation))
    {
        return nullptr;
    }
    return &at->second;
}

void member_table::on_digest(const peer_digest& digest, instant now)
{
    peer_record* peer = this->find_sender(digest);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->incarnation != 0 && peer->incarnation != digest.incarnation)
    {
        peer->incarnation_unconfirmed = true;
        return;
    }
    this->record_contact(*peer, digest, now);
}

void member_table::on_reply(const peer_digest& digest, instant sent_at,
                            instant now)
{
    peer_record* peer = this->find_sender(digest);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->incarnation != 0 && peer->incarnation != digest.incarnation)
    {
        if (sent_at < peer->last_contact)
        {
            // Either incarnation may be the older one; the next reply decides.
            peer->incarnation_unconfirmed = true;
            return;
        }
        supersede(*peer, peer->incarnation);
        peer->owns_slots = false;
        peer->consecutive_contacts = 0;
        peer->highest_heartbeat = 0;
        peer->revision = 0;
        peer->last_digest = {};
        ++this->change_counter;
    }
    peer->confirmed_running_at = std::max(peer->confirmed_running_at, sent_at);
    this->record_contact(*peer, digest, now);
}

void member_table::record_contact(peer_record& peer, const peer_digest& digest,
                                  instant now)
{
    if (peer.consecutive_failures > 0)
    {
        peer.record_pause(now - peer.no_contact_since);
    }
    else
    {
        peer.record_timely_contact();
    }
    peer.incarnation = digest.incarnation;
    peer.last_contact = std::max(peer.last_contact, now);
    peer.no_contact_since = std::max(peer.no_contact_since, now);
    peer.consecutive_failures = 0;
    peer.incarnation_unconfirmed = false;
    peer.suspected_by_peer = false;
    ++peer.consecutive_contacts;
    if (digest.heartbeat >= peer.last_digest.heartbeat)
    {
        peer.last_digest = digest;
        peer.last_digest.observations.clear();
        peer.last_digest.held_grants.clear();
        peer.highest_heartbeat =
            std::max(peer.highest_heartbeat, digest.heartbeat);
        peer.revision = std::max(peer.revision, digest.revision);
    }
    this->update_state(peer, now);
    const std::size_t count =
        std::min(digest.observations.size(), peer_digest::max_observations);
    for (std::size_t i = 0; i < count; ++i)
    {
        this->apply_observation(digest.observations[i], now);
    }
}

void member_table::apply_observation(const peer_observation& observation,
                                     instant now)
{
    const auto at = this->records.find(observation.name);
    if (at == this->records.end() || at->second.incarnation == 0 ||
        contains(at->second.superseded, observation.incarnation))
    {
        return;
    }
    peer_record& peer = at->second;
    if (peer.incarnation != observation.incarnation)
    {
        peer.incarnation_unconfirmed = true;
        return;
    }
    if (is_suspected(observation.state))
    {
        peer.suspected_by_peer = true;
    }
    if (observation.heartbeat <= peer.highest_heartbeat)
    {
        return;
    }
    peer.highest_heartbeat = observation.heartbeat;
    peer.revision = std::max(peer.revision, observation.revision);
    // Observations of others delay a suspicion, but only for a bounded time: a
    // peer that this instance cannot reach is of no use to it.
    const instant latest =
        peer.last_contact + this->options.unreachable_timeout;
    peer.no_contact_since =
        std::max(peer.no_contact_since, std::min(now, latest));
    this->update_state(peer, now);
}

void member_table::on_heartbeat_failed(const std::string& name, instant now)
{
    const auto at = this->records.find(name);
    if (at == this->records.end())
    {
        return;
    }
    at->second.consecutive_contacts = 0;
    ++at->second.consecutive_failures;
    this->update_state(at->second, now);
}

bool member_table::needs_probe(const peer_record& peer) const
{
    // An unreachable peer gets heartbeats at the regular rate, so that a long
    // partition does not increase the traffic.
    return peer.state != peer_state::unreachable &&
           (peer.incarnation_unconfirmed || peer.suspected_by_peer ||
            peer.consecutive_failures > 0 || peer.state == peer_state::suspect);
}

std::uint64_t member_table::heartbeat_weight(const peer_record& peer) const
{
    return peer.info.domain == this->own_info.domain ? own_domain_weight
                                                     : other_domain_weight;
}

microseconds
member_table::regular_heartbeat_interval(const peer_record& peer) const
{
    const std::uint64_t weight_per_round =
        this->options.max_regular_heartbeats * this->heartbeat_weight(peer);
    const auto rounds = static_cast<microseconds::rep>(
        (this->total_heartbeat_weight + weight_per_round - 1) /
        std::max<std::uint64_t>(weight_per_round, 1));
    return this->options.round_interval *
           std::max<microseconds::rep>(rounds, 1);
}

bool member_table::removal_proves_death(const peer_record& peer,
                                        instant since) const
{
    return peer.info.state == listed_state::removed &&
           this->list_requested_at >= since + this->options.list_grace_period;
}

void member_table::update_state(peer_record& peer, instant now)
{
    const microseconds contact_age = now - peer.no_contact_since;
    const microseconds regular_interval =
        this->regular_heartbeat_interval(peer);
    const microseconds unreachable_timeout =
        std::max(this->options.unreachable_timeout, 3 * regular_interval);
    const microseconds base_timeout =
        std::max(this->options.min_suspect_timeout, peer.pause_allowance());
    const microseconds suspect_timeout =
        std::min(std::max(base_timeout, 2 * regular_interval),
                 unreachable_timeout * 4 / 5);
    // A suspicion by another instance counts as two failed heartbeats.
    const std::uint32_t failure_threshold =
        peer.suspected_by_peer ? 1 : this->options.suspect_after_failures;
    const bool too_many_failures =
        peer.consecutive_failures >= failure_threshold &&
        contact_age >= std::min(base_timeout, suspect_timeout);
    peer_state state = peer_state::alive;
    if (this->removal_proves_death(
            peer, std::max(peer.last_contact, peer.no_contact_since)))
    {
        state = peer_state::dead;
    }
    else if (contact_age >= unreachable_timeout)
    {
        state = peer_state::unreachable;
    }
    else if (contact_age >= suspect_timeout || too_many_failures)
    {
        state = peer_state::suspect;
    }
    else if (peer.last_digest.phase == peer_phase::leaving ||
             peer.info.state == listed_state::leaving)
    {
        state = peer_state::leaving;
    }
    if (state == peer_state::suspect && peer.state != state)
    {
        peer.suspect_since = now;
        peer.consecutive_contacts = 0;
    }
    const bool not_ready =
        peer.incarnation != 0 && peer.last_digest.phase != peer_phase::ready;
    const bool exclusion_due =
        state == peer_state::suspect &&
        now - peer.suspect_since >= this->options.exclusion_delay;
    bool owns_slots =
        peer.owns_slots && is_live(state) && !not_ready && !exclusion_due;
    owns_slots =
        owns_slots ||
        (state == peer_state::alive && !not_ready && peer.incarnation != 0 &&
         peer.consecutive_contacts >= this->options.readmission_heartbeats);
    if (state != peer.state || owns_slots != peer.owns_slots)
    {
        ++this->change_counter;
    }
    peer.state = state;
    peer.owns_slots = owns_slots;
}

void member_table::update_all_states(instant now)
{
    this->total_heartbeat_weight = 0;
    for (const auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead)
        {
            this->total_heartbeat_weight += this->heartbeat_weight(peer);
        }
    }
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead)
        {
            this->update_state(peer, now);
        }
    }
}

void member_table::update_orphaned_domains(instant now)
{
    std::set<std::string> unserved;
    for (const auto& [name, server] : this->servers)
    {
        if (server.region == this->own_info.region &&
            server.domain != this->own_info.domain)
        {
            unserved.insert(server.domain);
        }
    }
    for (const auto& [name, peer] : this->records)
    {
        if (is_live(peer.state))
        {
            unserved.erase(peer.info.domain);
        }
    }
    std::erase_if(this->unserved_since, [&unserved](const auto& entry)
                  { return !unserved.contains(entry.first); });
    std::set<std::string> orphaned_now;
    for (const std::string& domain : unserved)
    {
        const auto since = this->unserved_since.try_emplace(domain, now);
        if (now - since.first->second >= this->options.takeover_delay)
        {
            orphaned_now.insert(domain);
        }
    }
    this->change_counter += orphaned_now != this->orphaned ? 1 : 0;
    this->orphaned = std::move(orphaned_now);
}

void member_table::exclude_own_suspension(instant now)
{
    const microseconds gap =
        this->last_tick ? now - *this->last_tick : microseconds(0);
    this->last_tick = now;
    if (gap <= this->options.max_tick_interval)
    {
        return;
    }
    for (auto& [name, peer] : this->records)
    {
        peer.no_contact_since = std::min(now, peer.no_contact_since + gap);
        peer.suspect_since = std::min(now, peer.suspect_since + gap);
    }
    for (auto& [domain, since] : this->unserved_since)
    {
        since = std::min(now, since + gap);
    }
}

std::vector<instance_info> member_table::tick(instant now)
{
    this->exclude_own_suspension(now);
    this->update_all_states(now);
    if (this->last_round &&
        now - *this->last_round < this->options.round_interval)
    {
        return {};
    }
    this->last_round = now;
    this->update_orphaned_domains(now);
    std::vector<instance_info> targets = this->regular_targets(now);
    this->add_probe_targets(targets, now);
    return targets;
}

std::vector<instance_info> member_table::regular_targets(instant now)
{
    // Stride scheduling: every peer gets a heartbeat within its
    // `regular_heartbeat_interval`.
    std::vector<std::pair<double, peer_record*>> due;
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead && peer.info.rpc_port != 0 &&
            !this->needs_probe(peer))
        {
            due.emplace_back(peer.schedule_position, &peer);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), this->options.max_regular_heartbeats));
    std::vector<instance_info> targets;
    for (const auto& [schedule_position, peer] : due)
    {
        this->last_position = std::max(this->last_position, schedule_position);
        peer->schedule_position =
            this->last_position +
            1.0 / static_cast<double>(this->heartbeat_weight(*peer));
        peer->last_sent = now;
        targets.push_back(peer->info);
    }
    return targets;
}

void member_table::add_probe_targets(std::vector<instance_info>& targets,
                                     instant now)
{
    std::vector<std::pair<instant, peer_record*>> due;
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead && peer.info.rpc_port != 0 &&
            this->needs_probe(peer))
        {
            due.emplace_back(peer.last_sent, &peer);
        }
    }
    std::sort(due.begin(), due.end());
    for (const auto& [sent, peer] : due)
    {
        if (targets.size() >= this->options.max_heartbeats_per_round)
        {
            return;
        }
        peer->last_sent = now;
        targets.push_back(peer->info);
    }
}

peer_digest member_table::make_digest(peer_phase phase, std::uint64_t revision,
                                      std::uint32_t free_slots,
                                      std::uint32_t queued_tasks)
{
    // Suspects concern every instance. Two of the other peers suffice, because
    // successive digests rotate through them.
    constexpr std::size_t max_suspects = peer_digest::max_observations - 2;
    constexpr std::size_t max_others = 2;
    peer_digest digest{this->own_info.name,
                       this->own_info.domain,
                       this->incarnation,
                       phase,
                       ++this->heartbeat,
                       revision,
                       free_slots,
                       queued_tasks,
                       {},
                       {}};
    const auto add = [&digest](const peer_record& peer)
    {
        digest.observations.push_back({peer.info.name, peer.incarnation,
                                       peer.highest_heartbeat, peer.state,
                                       peer.revision});
    };
    for (const auto& [name, peer] : this->records)
    {
        if (digest.observations.size() < max_suspects &&
            peer.incarnation != 0 && peer.state == peer_state::suspect)
        {
            add(peer);
        }
    }
    const std::size_t max_count = digest.observations.size() + max_others;
    auto at = this->records.upper_bound(this->observation_cursor);
    for (std::size_t i = 0;
         i < this->records.size() && digest.observations.size() < max_count;
         ++i)
    {
        at = at == this->records.end() ? this->records.begin() : at;
        const peer_record& peer = at->second;
        this->observation_cursor = at->first;
        ++at;
        if (peer.incarnation != 0 && peer.state != peer_state::dead &&
            peer.state != peer_state::suspect)
        {
            add(peer);
        }
    }
    return digest;
}

instant member_table::first_query_time(const std::string& name,
                                       std::uint64_t incarnation, instant now)
{
    for (const death_query& query : this->death_queries)
    {
        if (query.incarnation == incarnation && query.name == name)
        {
            return query.at;
        }
    }
    if (this->death_queries.size() >= max_death_queries)
    {
        this->death_queries.erase(this->death_queries.begin());
    }
    this->death_queries.push_back({name, incarnation, now});
    return now;
}

bool member_table::is_dead(const std::string& name, std::uint64_t incarnation,
                           instant now)
{
    if (name == this->own_info.name)
    {
        return incarnation != this->incarnation;
    }
    const auto at = this->records.find(name);
    if (at == this->records.end())
    {
        return false;
    }
    peer_record& peer = at->second;
    if (contains(peer.superseded, incarnation))
    {
        return true;
    }
    const instant last_evidence =
        std::max(peer.last_contact, peer.no_contact_since);
    if (incarnation == peer.incarnation)
    {
        return this->removal_proves_death(peer, last_evidence);
    }
    // The incarnation was running before the first query about it. Another one
    // that was running later under the same name has therefore replaced it.
    const instant first_asked = this->first_query_time(name, incarnation, now);
    if (peer.confirmed_running_at > first_asked)
    {
        supersede(peer, incarnation);
        return true;
    }
    return this->removal_proves_death(peer,
                                      std::max(first_asked, last_evidence));
}

std::optional<peer_view> member_table::find(const std::string& name) const
{
    const auto at = this->records.find(name);
    if (at == this->records.end())
    {
        return std::nullopt;
    }
    const peer_record& peer = at->second;
    return peer_view{peer.info,
                     peer.state,
                     peer.incarnation,
                     peer.owns_slots,
                     peer.last_digest.phase,
                     peer.last_digest.free_slots,
                     peer.last_digest.queued_tasks,
                     peer.revision};
}

std::vector<peer_view> member_table::peers() const
{
    std::vector<peer_view> views;
    for (const auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead)
        {
            views.push_back(*this->find(name));
        }
    }
    return views;
}

std::vector<instance_info>
member_table::owners_where(const std::string& domain,
                           const std::string& region) const
{
    const auto matches = [&](const instance_info& info)
    {
        return (domain.empty() || info.domain == domain) &&
               (region.empty() || info.region == region);
    };
    std::vector<instance_info> owners;
    if (matches(this->own_info))
    {
        owners.push_back(this->own_info);
    }
    for (const auto& [name, peer] : this->records)
    {
        if (peer.owns_slots && matches(peer.info))
        {
            owners.push_back(peer.info);
        }
    }
    std::sort(owners.begin(), owners.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return owners;
}

std::vector<instance_info>
member_table::slot_owners(const std::string& domain) const
{
    if (this->orphaned.contains(domain))
    {
        return this->owners_where("", this->own_info.region);
    }
    return this->owners_where(domain, "");
}

std::vector<instance_info> member_table::backends() const
{
    std::vector<instance_info> list;
    list.reserve(this->servers.size());
    for (const auto& [name, server] : this->servers)
    {
        list.push_back(server);
    }
    return list;
}

std::vector<std::string> member_table::orphaned_domains() const
{
    return {this->orphaned.begin(), this->orphaned.end()};
}

std::optional<revision_source> member_table::highest_revision() const
{
    std::optional<revision_source> best;
    for (const auto& [name, peer] : this->records)
    {
        if (peer.incarnation == 0 || peer.state == peer_state::dead ||
            peer.state == peer_state::unreachable)
        {
            continue;
        }
        if (!best || peer.revision > best->revision)
        {
            best = revision_source{peer.revision, name};
        }
    }
    return best;
}

std::uint64_t member_table::change_count() const
{
    return this->change_counter;
}

std::size_t member_table::listed_entries() const
{
    std::size_t count = 1;
    for (const auto& [name, peer] : this->records)
    {
        count += peer.info.state != listed_state::removed ? 1 : 0;
    }
    return count;
}

std::uint64_t member_table::listed_weight() const
{
    std::uint64_t weight = this->own_info.weight;
    for (const auto& [name, peer] : this->records)
    {
        weight +=
            peer.info.state != listed_state::removed ? peer.info.weight : 0;
    }
    return weight;
}

std::uint64_t member_table::list_version() const
{
    return this->version;
}

const instance_info& member_table::self() const
{
    return this->own_info;
}

} // namespace jujubedrum
