#include "membership/member_table.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_superseded = 16;
constexpr std::size_t max_questions = 256;
constexpr std::size_t max_tombstones = 1024;

// Relative heartbeat rates. Slots are divided within a failure domain, so its
// members are watched more closely.
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

bool silent(peer_state state)
{
    return state == peer_state::suspect || state == peer_state::unreachable;
}

bool live(peer_state state)
{
    return state == peer_state::alive || state == peer_state::suspect;
}

} // namespace

member_table::member_table(instance_info self, std::uint64_t incarnation,
                           member_options options)
    : own(std::move(self))
    , incarnation(incarnation)
    , options(options)
{
}

void member_table::on_list(const instance_page& page, instant asked_at)
{
    // A full page may have a lower version: the list service lost its state.
    const bool older = page.version < this->version && !page.full;
    if (this->listed && (older || asked_at < this->list_read_at))
    {
        return;
    }
    this->list_read_at = asked_at;
    if (page.full)
    {
        this->mark_missing_gone(page, asked_at);
    }
    for (const instance_info& info : page.changes)
    {
        this->apply_change(info, asked_at);
    }
    this->version = page.version;
    this->listed = true;
    this->limit_tombstones();
}

void member_table::mark_missing_gone(const instance_page& page,
                                     instant asked_at)
{
    std::set<std::string> names;
    for (const instance_info& info : page.changes)
    {
        names.insert(info.name);
    }
    const std::size_t dropped =
        std::erase_if(this->servers, [&names](const auto& server)
                      { return !names.contains(server.first); });
    this->generation += dropped > 0 ? 1 : 0;
    for (auto& [name, peer] : this->records)
    {
        if (!names.contains(name) && peer.info.state != listed_state::gone)
        {
            peer.info.state = listed_state::gone;
            ++this->generation;
            this->refresh(peer, asked_at);
        }
    }
}

void member_table::apply_change(const instance_info& info, instant asked_at)
{
    if (info.name == this->own.name)
    {
        this->generation += this->own.weight != info.weight ? 1 : 0;
        this->own.weight = info.weight;
        return;
    }
    if (info.role == instance_role::entry)
    {
        this->apply_entry(info, asked_at);
        return;
    }
    const auto at = this->servers.find(info.name);
    if (info.state == listed_state::gone)
    {
        this->generation += this->servers.erase(info.name);
        return;
    }
    if (at == this->servers.end() ? this->servers.size() < max_listed_instances
                                  : at->second != info)
    {
        this->servers[info.name] = info;
        ++this->generation;
    }
}

void member_table::apply_entry(const instance_info& info, instant asked_at)
{
    const auto [at, added] = this->records.try_emplace(info.name);
    peer_record& peer = at->second;
    if (added)
    {
        peer.silence_from = asked_at;
        // The first turns are spread, differently at each sender, so that the
        // instances do not all send to the same peer.
        constexpr std::uint64_t steps = 1U << 16U;
        const std::uint64_t step =
            stable_hash(this->own.name + "/" + info.name) % steps;
        peer.info.domain = info.domain;
        peer.turn =
            this->last_turn +
            static_cast<double>(step) /
                static_cast<double>(steps * this->heartbeat_weight(peer));
        // Peers on the first page have been running all along. One that joins
        // later proves itself by its heartbeats first.
        peer.owner = !this->listed && info.state == listed_state::live;
    }
    else if (peer.info == info)
    {
        return;
    }
    const instance_info before = std::exchange(peer.info, info);
    if (info.state == listed_state::gone && !added)
    {
        // The description is kept: the process may still answer there.
        peer.info = before;
        peer.info.state = listed_state::gone;
    }
    if (before.state == listed_state::gone && !added)
    {
        peer.silence_from = std::max(peer.silence_from, asked_at);
    }
    ++this->generation;
    this->refresh(peer, asked_at);
}

void member_table::limit_tombstones()
{
    const auto removed = [](const auto& entry)
    { return entry.second.info.state == listed_state::gone; };
    std::size_t count =
        std::count_if(this->records.begin(), this->records.end(), removed);
    while (count > max_tombstones ||
           (count > 0 && this->records.size() > 2 * max_listed_instances))
    {
        auto oldest = this->records.end();
        for (auto at = this->records.begin(); at != this->records.end(); ++at)
        {
            if (removed(*at) &&
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

peer_record* member_table::known(const peer_digest& digest)
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
    peer_record* peer = this->known(digest);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->incarnation != 0 && peer->incarnation != digest.incarnation)
    {
        peer->incarnation_doubt = true;
        return;
    }
    this->contact(*peer, digest, now);
}

void member_table::on_reply(const peer_digest& digest, instant sent_at,
                            instant now)
{
    peer_record* peer = this->known(digest);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->incarnation != 0 && peer->incarnation != digest.incarnation)
    {
        if (sent_at < peer->last_contact)
        {
            // Either one may be the older process; the next reply settles it.
            peer->incarnation_doubt = true;
            return;
        }
        supersede(*peer, peer->incarnation);
        peer->owner = false;
        peer->good_in_row = 0;
        peer->counter = 0;
        peer->revision = 0;
        peer->last = {};
        ++this->generation;
    }
    peer->proved_running = std::max(peer->proved_running, sent_at);
    this->contact(*peer, digest, now);
}

void member_table::contact(peer_record& peer, const peer_digest& digest,
                           instant now)
{
    if (peer.failed_in_row > 0)
    {
        peer.note_pause(now - peer.silence_from);
    }
    else
    {
        peer.note_calm();
    }
    peer.incarnation = digest.incarnation;
    peer.last_contact = std::max(peer.last_contact, now);
    peer.silence_from = std::max(peer.silence_from, now);
    peer.failed_in_row = 0;
    peer.incarnation_doubt = false;
    peer.another_suspects = false;
    ++peer.good_in_row;
    if (digest.heartbeat >= peer.last.heartbeat)
    {
        peer.last = digest;
        peer.last.observations.clear();
        peer.last.held_grants.clear();
        peer.counter = std::max(peer.counter, digest.heartbeat);
        peer.revision = std::max(peer.revision, digest.revision);
    }
    this->refresh(peer, now);
    const std::size_t count =
        std::min(digest.observations.size(), peer_digest::max_observations);
    for (std::size_t i = 0; i < count; ++i)
    {
        this->observe(digest.observations[i], now);
    }
}

void member_table::observe(const peer_observation& seen, instant now)
{
    const auto at = this->records.find(seen.name);
    if (at == this->records.end() || at->second.incarnation == 0 ||
        contains(at->second.superseded, seen.incarnation))
    {
        return;
    }
    peer_record& peer = at->second;
    if (peer.incarnation != seen.incarnation)
    {
        peer.incarnation_doubt = true;
        return;
    }
    if (silent(seen.state))
    {
        peer.another_suspects = true;
    }
    if (seen.heartbeat <= peer.counter)
    {
        return;
    }
    peer.counter = seen.heartbeat;
    peer.revision = std::max(peer.revision, seen.revision);
    // What others hear delays a suspicion, but only for a bounded time: a peer
    // that this instance cannot reach is of no use to it.
    const instant latest = peer.last_contact + this->options.unreachable_after;
    peer.silence_from = std::max(peer.silence_from, std::min(now, latest));
    this->refresh(peer, now);
}

void member_table::on_heartbeat_failed(const std::string& name, instant now)
{
    const auto at = this->records.find(name);
    if (at == this->records.end())
    {
        return;
    }
    at->second.good_in_row = 0;
    ++at->second.failed_in_row;
    this->refresh(at->second, now);
}

bool member_table::doubtful(const peer_record& peer) const
{
    // An unreachable peer is probed at the ordinary rate, so that a long
    // partition does not raise the traffic.
    return peer.state != peer_state::unreachable &&
           (peer.incarnation_doubt || peer.another_suspects ||
            peer.failed_in_row > 0 || peer.state == peer_state::suspect);
}

std::uint64_t member_table::heartbeat_weight(const peer_record& peer) const
{
    return peer.info.domain == this->own.domain ? own_domain_weight
                                                : other_domain_weight;
}

microseconds member_table::pass_time(const peer_record& peer) const
{
    const std::uint64_t turns =
        this->options.calm_targets * this->heartbeat_weight(peer);
    const auto rounds = static_cast<microseconds::rep>(
        (this->total_weight + turns - 1) / std::max<std::uint64_t>(turns, 1));
    return this->options.round * std::max<microseconds::rep>(rounds, 1);
}

bool member_table::gone_is_proof(const peer_record& peer, instant since) const
{
    return peer.info.state == listed_state::gone &&
           this->list_read_at >= since + this->options.list_grace;
}

void member_table::refresh(peer_record& peer, instant now)
{
    const microseconds silence = now - peer.silence_from;
    const microseconds pass = this->pass_time(peer);
    const microseconds lost =
        std::max(this->options.unreachable_after, 3 * pass);
    const microseconds usual =
        std::max(this->options.shortest_silence, peer.usual_silence());
    const microseconds doubtful =
        std::min(std::max(usual, 2 * pass), lost * 4 / 5);
    // The failure of another instance counts like two of the own ones.
    const std::uint32_t limit =
        peer.another_suspects ? 1 : this->options.missed_limit;
    const bool missed =
        peer.failed_in_row >= limit && silence >= std::min(usual, doubtful);
    peer_state state = peer_state::alive;
    if (this->gone_is_proof(peer,
                            std::max(peer.last_contact, peer.silence_from)))
    {
        state = peer_state::dead;
    }
    else if (silence >= lost)
    {
        state = peer_state::unreachable;
    }
    else if (silence >= doubtful || missed)
    {
        state = peer_state::suspect;
    }
    else if (peer.last.phase == peer_phase::leaving ||
             peer.info.state == listed_state::leaving)
    {
        state = peer_state::leaving;
    }
    if (state == peer_state::suspect && peer.state != state)
    {
        peer.suspect_since = now;
        peer.good_in_row = 0;
    }
    const bool not_ready =
        peer.incarnation != 0 && peer.last.phase != peer_phase::ready;
    const bool overdue =
        state == peer_state::suspect &&
        now - peer.suspect_since >= this->options.exclusion_delay;
    bool owner = peer.owner && live(state) && !not_ready && !overdue;
    owner = owner || (state == peer_state::alive && !not_ready &&
                      peer.incarnation != 0 &&
                      peer.good_in_row >= this->options.return_heartbeats);
    if (state != peer.state || owner != peer.owner)
    {
        ++this->generation;
    }
    peer.state = state;
    peer.owner = owner;
}

void member_table::refresh_all(instant now)
{
    this->total_weight = 0;
    for (const auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead)
        {
            this->total_weight += this->heartbeat_weight(peer);
        }
    }
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead)
        {
            this->refresh(peer, now);
        }
    }
}

void member_table::refresh_domains(instant now)
{
    std::set<std::string> served;
    for (const auto& [name, server] : this->servers)
    {
        if (server.region == this->own.region &&
            server.domain != this->own.domain)
        {
            served.insert(server.domain);
        }
    }
    for (const auto& [name, peer] : this->records)
    {
        if (live(peer.state))
        {
            served.erase(peer.info.domain);
        }
    }
    std::erase_if(this->ownerless_since, [&served](const auto& entry)
                  { return !served.contains(entry.first); });
    std::set<std::string> taken;
    for (const std::string& domain : served)
    {
        const auto since = this->ownerless_since.try_emplace(domain, now);
        if (now - since.first->second >= this->options.takeover_after)
        {
            taken.insert(domain);
        }
    }
    this->generation += taken != this->orphaned ? 1 : 0;
    this->orphaned = std::move(taken);
}

void member_table::credit_own_pause(instant now)
{
    const microseconds pause =
        this->last_tick ? now - *this->last_tick : microseconds(0);
    this->last_tick = now;
    if (pause <= this->options.own_pause)
    {
        return;
    }
    for (auto& [name, peer] : this->records)
    {
        peer.silence_from = std::min(now, peer.silence_from + pause);
        peer.suspect_since = std::min(now, peer.suspect_since + pause);
    }
    for (auto& [domain, since] : this->ownerless_since)
    {
        since = std::min(now, since + pause);
    }
}

std::vector<instance_info> member_table::tick(instant now)
{
    this->credit_own_pause(now);
    this->refresh_all(now);
    if (this->last_round && now - *this->last_round < this->options.round)
    {
        return {};
    }
    this->last_round = now;
    this->refresh_domains(now);
    std::vector<instance_info> targets = this->calm_round(now);
    this->add_doubtful(targets, now);
    return targets;
}

std::vector<instance_info> member_table::calm_round(instant now)
{
    // Stride scheduling: every peer is reached within its pass time.
    std::vector<std::pair<double, peer_record*>> due;
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead && peer.info.rpc_port != 0 &&
            !this->doubtful(peer))
        {
            due.emplace_back(peer.turn, &peer);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), this->options.calm_targets));
    std::vector<instance_info> targets;
    for (const auto& [turn, peer] : due)
    {
        this->last_turn = std::max(this->last_turn, turn);
        peer->turn = this->last_turn +
                     1.0 / static_cast<double>(this->heartbeat_weight(*peer));
        peer->last_sent = now;
        targets.push_back(peer->info);
    }
    return targets;
}

void member_table::add_doubtful(std::vector<instance_info>& targets,
                                instant now)
{
    std::vector<std::pair<instant, peer_record*>> due;
    for (auto& [name, peer] : this->records)
    {
        if (peer.state != peer_state::dead && peer.info.rpc_port != 0 &&
            this->doubtful(peer))
        {
            due.emplace_back(peer.last_sent, &peer);
        }
    }
    std::sort(due.begin(), due.end());
    for (const auto& [sent, peer] : due)
    {
        if (targets.size() >= this->options.targets_per_round)
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
    // Suspects are of use to everyone; of the others two suffice, because they
    // are passed on in rotation.
    constexpr std::size_t most_silent = peer_digest::max_observations - 2;
    constexpr std::size_t most_others = 2;
    peer_digest digest{this->own.name,
                       this->own.domain,
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
                                       peer.counter, peer.state,
                                       peer.revision});
    };
    for (const auto& [name, peer] : this->records)
    {
        if (digest.observations.size() < most_silent && peer.incarnation != 0 &&
            peer.state == peer_state::suspect)
        {
            add(peer);
        }
    }
    const std::size_t most = digest.observations.size() + most_others;
    auto at = this->records.upper_bound(this->observation_cursor);
    for (std::size_t i = 0;
         i < this->records.size() && digest.observations.size() < most; ++i)
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

instant member_table::first_question(const std::string& name,
                                     std::uint64_t incarnation, instant now)
{
    for (const question& asked : this->questions)
    {
        if (asked.incarnation == incarnation && asked.name == name)
        {
            return asked.at;
        }
    }
    if (this->questions.size() >= max_questions)
    {
        this->questions.erase(this->questions.begin());
    }
    this->questions.push_back({name, incarnation, now});
    return now;
}

bool member_table::is_dead(const std::string& name, std::uint64_t incarnation,
                           instant now)
{
    if (name == this->own.name)
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
    const instant heard = std::max(peer.last_contact, peer.silence_from);
    if (incarnation == peer.incarnation)
    {
        return this->gone_is_proof(peer, heard);
    }
    // The incarnation ran before the first question about it. Another one that
    // ran later under the same name therefore followed it.
    const instant asked = this->first_question(name, incarnation, now);
    if (peer.proved_running > asked)
    {
        supersede(peer, incarnation);
        return true;
    }
    return this->gone_is_proof(peer, std::max(asked, heard));
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
                     peer.owner,
                     peer.last.phase,
                     peer.last.free_slots,
                     peer.last.queued_tasks,
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
    if (matches(this->own))
    {
        owners.push_back(this->own);
    }
    for (const auto& [name, peer] : this->records)
    {
        if (peer.owner && matches(peer.info))
        {
            owners.push_back(peer.info);
        }
    }
    std::sort(owners.begin(), owners.end());
    return owners;
}

std::vector<instance_info>
member_table::slot_owners(const std::string& domain) const
{
    if (this->orphaned.contains(domain))
    {
        return this->owners_where("", this->own.region);
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

std::optional<revision_holder> member_table::highest_revision() const
{
    std::optional<revision_holder> best;
    for (const auto& [name, peer] : this->records)
    {
        if (peer.incarnation == 0 || peer.state == peer_state::dead ||
            peer.state == peer_state::unreachable)
        {
            continue;
        }
        if (!best || peer.revision > best->revision)
        {
            best = revision_holder{peer.revision, name};
        }
    }
    return best;
}

std::uint64_t member_table::changed() const
{
    return this->generation;
}

std::size_t member_table::listed_entries() const
{
    std::size_t count = 1;
    for (const auto& [name, peer] : this->records)
    {
        count += peer.info.state != listed_state::gone ? 1 : 0;
    }
    return count;
}

std::uint64_t member_table::listed_weight() const
{
    std::uint64_t weight = this->own.weight;
    for (const auto& [name, peer] : this->records)
    {
        weight += peer.info.state != listed_state::gone ? peer.info.weight : 0;
    }
    return weight;
}

std::uint64_t member_table::list_version() const
{
    return this->version;
}

const instance_info& member_table::self() const
{
    return this->own;
}

} // namespace jujubedrum
