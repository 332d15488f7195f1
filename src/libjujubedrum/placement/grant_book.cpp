#include "placement/grant_book.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace jujubedrum
{

namespace
{

unsigned share_of(unsigned capacity, double share)
{
    return static_cast<unsigned>(std::ceil(capacity * share));
}

} // namespace

grant_book::grant_book(std::string self, slot_pool& pool, server_stats& stats,
                       grant_options options)
    : self(std::move(self))
    , pool(pool)
    , stats(stats)
    , options(options)
{
}

void grant_book::set_peers(const std::vector<entry_instance>& peers,
                           std::string_view own_domain)
{
    std::set<std::string_view> listed;
    for (const entry_instance& peer : peers)
    {
        if (peer.name != this->self)
        {
            listed.insert(peer.name);
            this->peers[peer.name].same_domain = peer.domain == own_domain;
        }
    }
    std::vector<std::string> removed;
    for (const auto& [name, record] : this->peers)
    {
        if (!listed.contains(name))
        {
            removed.push_back(name);
        }
    }
    for (const std::string& name : removed)
    {
        this->on_peer_dead(name);
    }
}

void grant_book::on_peer_free_slots(std::string_view peer, unsigned free,
                                    instant now)
{
    const auto at = this->peers.find(peer);
    if (at == this->peers.end())
    {
        return;
    }
    at->second.free = free;
    at->second.free_reported_at = now;
}

std::optional<planned_request> grant_book::plan_request(std::size_t waiting,
                                                        instant now)
{
    if (waiting == 0 || this->open)
    {
        return std::nullopt;
    }
    const auto needed = static_cast<unsigned>(
        std::min<std::size_t>(waiting, backend_server::max_slots));
    const std::string* lender = this->best_lender(needed, now);
    if (lender == nullptr)
    {
        return std::nullopt;
    }
    const std::uint64_t sequence = this->next_sequence++;
    this->open = open_request{*lender, sequence, now};
    const unsigned extra = share_of(this->pool.owned(), this->options.headroom);
    return planned_request{*lender,
                           borrow_request{this->report_for(*lender), sequence,
                                          needed, needed + extra}};
}

const std::string* grant_book::best_lender(unsigned needed, instant now) const
{
    const std::string* best = nullptr;
    std::pair<bool, unsigned> best_rank;
    for (const auto& [name, peer] : this->peers)
    {
        if (now < peer.backoff_until)
        {
            continue;
        }
        const bool fresh = peer.free && now - peer.free_reported_at <
                                            this->options.max_free_slots_age;
        const unsigned free = fresh ? *peer.free : needed;
        // A peer of the own failure domain that has enough slots is preferred
        // to one elsewhere that has more.
        const std::pair rank(peer.same_domain && free >= needed, free);
        if (best == nullptr || rank > best_rank)
        {
            best = &name;
            best_rank = rank;
        }
    }
    return best;
}

bool grant_book::on_reply(const borrow_reply& reply, instant now)
{
    const std::string& lender = reply.report.borrower;
    this->on_peer_free_slots(lender, reply.report.free, now);
    this->on_report(reply.report, now);
    this->on_revoked(lender, reply.revoked);
    const bool expected = this->open && this->open->lender == lender &&
                          this->open->sequence == reply.grant.sequence;
    if (!expected)
    {
        return false;
    }
    this->open.reset();
    std::map<std::string, unsigned> slots;
    const double reference = this->min_slowness();
    for (const slot_count& slot : reply.grant.slots)
    {
        this->stats.set_initial_slowness(slot.server,
                                         slot.slowness * reference);
        // Slots of a server that is not yet in this instance's list are not
        // used; the next report returns them.
        if (slot.count > 0 && this->pool.borrow(slot.server, slot.count))
        {
            slots[slot.server] += slot.count;
        }
    }
    const auto peer = this->peers.find(lender);
    if (slots.empty())
    {
        if (peer != this->peers.end())
        {
            this->record_refusal(peer->second, now);
        }
        return true;
    }
    if (peer != this->peers.end())
    {
        peer->second.consecutive_refusals = 0;
    }
    this->held[lender][reply.grant.sequence] = std::move(slots);
    return true;
}

void grant_book::record_refusal(peer_record& peer, instant now)
{
    constexpr unsigned max_doublings = 10;
    const unsigned doublings =
        std::min(peer.consecutive_refusals, max_doublings);
    peer.backoff_until =
        now + std::min(this->options.refusal_backoff * (1 << doublings),
                       this->options.max_refusal_backoff);
    ++peer.consecutive_refusals;
}

void grant_book::on_no_reply(std::uint64_t sequence, instant now)
{
    if (!this->open || this->open->sequence != sequence)
    {
        return;
    }
    const auto peer = this->peers.find(this->open->lender);
    if (peer != this->peers.end())
    {
        this->record_refusal(peer->second, now);
    }
    this->open.reset();
}

std::vector<planned_report> grant_book::tick(instant now)
{
    if (this->open && now - this->open->sent_at >= this->options.reply_timeout)
    {
        this->on_no_reply(this->open->sequence, now);
    }
    std::vector<planned_report> reports;
    if (now - this->min_free_since < this->options.idle_grace_period)
    {
        return reports;
    }
    std::vector<std::string> lenders;
    for (auto& [lender, grants] : this->held)
    {
        if (this->return_slots(grants, true) > 0)
        {
            lenders.push_back(lender);
        }
    }
    for (const std::string& lender : lenders)
    {
        reports.push_back({lender, this->report_for(lender)});
    }
    std::erase_if(this->held,
                  [](const auto& entry) { return entry.second.empty(); });
    this->pool.reset_min_free();
    this->min_free_since = now;
    return reports;
}

unsigned grant_book::return_slots(grant_map& grants, bool idle_since_reset)
{
    unsigned returned = 0;
    for (auto& [sequence, slots] : grants)
    {
        for (auto& [server, count] : slots)
        {
            const pooled_server* entry = this->pool.find(server);
            const unsigned idle = entry == nullptr   ? count
                                  : idle_since_reset ? entry->min_free
                                                     : entry->free();
            const unsigned unused = std::min(count, idle);
            this->pool.drop_borrowed(server, unused);
            count -= unused;
            returned += unused;
        }
        std::erase_if(slots, [](const auto& slot) { return slot.second == 0; });
    }
    std::erase_if(grants,
                  [](const auto& entry) { return entry.second.empty(); });
    return returned;
}

std::vector<slot_count>
grant_book::to_slot_counts(const std::map<std::string, unsigned>& grant) const
{
    std::vector<slot_count> slots;
    slots.reserve(grant.size());
    for (const auto& [server, count] : grant)
    {
        slots.push_back({server, count});
    }
    return slots;
}

grant_report grant_book::report_for(std::string_view lender) const
{
    grant_report report;
    report.borrower = this->self;
    report.through = this->next_sequence - 1;
    report.free = this->lendable_slots();
    const auto at = this->held.find(lender);
    if (at != this->held.end())
    {
        for (const auto& [sequence, slots] : at->second)
        {
            report.held.push_back({sequence, this->to_slot_counts(slots)});
        }
    }
    if (this->open && this->open->lender == lender)
    {
        report.open.push_back(this->open->sequence);
    }
    return report;
}

void grant_book::drop_grant(const std::map<std::string, unsigned>& grant)
{
    for (const auto& [server, count] : grant)
    {
        this->pool.drop_borrowed(server, count);
    }
}

void grant_book::on_revoked(std::string_view lender,
                            const std::vector<std::uint64_t>& sequences)
{
    const auto at = this->held.find(lender);
    if (at == this->held.end())
    {
        return;
    }
    for (const std::uint64_t sequence : sequences)
    {
        const auto grant = at->second.find(sequence);
        if (grant != at->second.end())
        {
            this->drop_grant(grant->second);
            at->second.erase(grant);
        }
    }
    if (at->second.empty())
    {
        this->held.erase(at);
    }
}

unsigned grant_book::lendable_slots() const
{
    // The reserve is a share of the owned slots: as a share of the capacity it
    // would shrink with each loan and let an instance lend its last slot.
    const unsigned reserve =
        share_of(this->pool.owned(), this->options.reserve);
    const unsigned free = this->pool.free();
    return free > reserve ? free - reserve : 0;
}

double grant_book::min_slowness() const
{
    double lowest = 0.0;
    for (const auto& [name, entry] : this->pool.servers())
    {
        if (this->stats.has_estimate(name))
        {
            const double slowness = this->stats.slowness(name);
            lowest = lowest == 0.0 ? slowness : std::min(lowest, slowness);
        }
    }
    return lowest == 0.0 ? 1.0 : lowest;
}

void grant_book::add_slowness(std::vector<slot_count>& slots) const
{
    const double reference = this->min_slowness();
    for (slot_count& slot : slots)
    {
        if (this->stats.has_estimate(slot.server))
        {
            slot.slowness = this->stats.slowness(slot.server) / reference;
        }
    }
}

std::vector<slot_count> grant_book::lend_slots(unsigned count, instant now)
{
    std::vector<std::pair<double, const pooled_server*>> ranked;
    for (const auto& [name, entry] : this->pool.servers())
    {
        const bool lendable =
            entry.free() > 0 && entry.owned > entry.lent &&
            this->stats.admission(name, now) == admission_state::open;
        if (!lendable)
        {
            continue;
        }
        const double slowness = this->stats.slowness(name);
        const double idle =
            static_cast<double>(entry.free()) / entry.capacity();
        const bool by_speed = this->options.order != lend_order::most_idle;
        const double sign =
            this->options.order == lend_order::slowest ? -1.0 : 1.0;
        ranked.emplace_back(
            by_speed ? sign * slowness : slowness / 1000.0 - idle, &entry);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<slot_count> slots;
    for (const auto& [rank, entry] : ranked)
    {
        if (count == 0)
        {
            break;
        }
        const std::string& name = entry->server.name();
        const unsigned moved = this->pool.lend(name, count);
        if (moved > 0)
        {
            slots.push_back({name, moved});
            count -= moved;
        }
    }
    return slots;
}

borrow_reply grant_book::lend(const borrow_request& request, instant now)
{
    const std::string& borrower = request.report.borrower;
    borrow_reply reply;
    reply.revoked = this->on_report(request.report, now);
    reply.grant.sequence = request.sequence;
    // Free slots borrowed from the requesting peer are returned first: the
    // reply carries the report, so this needs no message of its own.
    const auto held_from = this->held.find(borrower);
    if (held_from != this->held.end())
    {
        this->return_slots(held_from->second, false);
        if (held_from->second.empty())
        {
            this->held.erase(held_from);
        }
    }
    const auto peer = this->peers.find(borrower);
    const bool known = peer != this->peers.end();
    grant_map& grants = this->lent[borrower];
    const auto earlier = grants.find(request.sequence);
    if (earlier != grants.end())
    {
        reply.grant.slots = this->to_slot_counts(earlier->second);
    }
    else if (known && request.sequence > peer->second.last_sequence)
    {
        peer->second.last_sequence = request.sequence;
        const auto slots = this->lend_slots(
            std::min(request.wanted, this->lendable_slots()), now);
        for (const slot_count& slot : slots)
        {
            grants[request.sequence][slot.server] += slot.count;
        }
        if (!slots.empty())
        {
            reply.grant.slots = this->to_slot_counts(grants[request.sequence]);
        }
    }
    if (grants.empty())
    {
        this->lent.erase(borrower);
    }
    this->add_slowness(reply.grant.slots);
    reply.report = this->report_for(borrower);
    return reply;
}

void grant_book::reclaim(std::map<std::string, unsigned>& grant,
                         const slot_grant* kept)
{
    for (auto& [server, count] : grant)
    {
        unsigned still_held = 0;
        if (kept != nullptr)
        {
            for (const slot_count& slot : kept->slots)
            {
                still_held += slot.server == server ? slot.count : 0;
            }
        }
        if (still_held < count)
        {
            this->pool.reclaim(server, count - still_held);
            count = still_held;
        }
    }
    std::erase_if(grant, [](const auto& slot) { return slot.second == 0; });
}

std::vector<std::uint64_t> grant_book::on_report(const grant_report& report,
                                                 instant now)
{
    this->on_peer_free_slots(report.borrower, report.free, now);
    std::vector<std::uint64_t> unknown;
    grant_map& grants = this->lent[report.borrower];
    std::set<std::uint64_t> kept(report.open.begin(), report.open.end());
    for (const slot_grant& held : report.held)
    {
        const auto grant = grants.find(held.sequence);
        if (grant == grants.end())
        {
            unknown.push_back(held.sequence);
            continue;
        }
        kept.insert(held.sequence);
        this->reclaim(grant->second, &held);
    }
    for (auto& [sequence, slots] : grants)
    {
        if (sequence <= report.through && !kept.contains(sequence))
        {
            this->reclaim(slots, nullptr);
        }
    }
    std::erase_if(grants,
                  [](const auto& entry) { return entry.second.empty(); });
    if (grants.empty())
    {
        this->lent.erase(report.borrower);
    }
    return unknown;
}

void grant_book::on_slots_changed()
{
    for (auto& [borrower, grants] : this->lent)
    {
        for (auto& [sequence, slots] : grants)
        {
            const bool recall = std::any_of(
                slots.begin(), slots.end(),
                [&](const auto& slot)
                {
                    const pooled_server* entry = this->pool.find(slot.first);
                    return entry == nullptr || entry->lent > entry->owned;
                });
            if (recall)
            {
                this->reclaim(slots, nullptr);
            }
        }
        std::erase_if(grants,
                      [](const auto& entry) { return entry.second.empty(); });
    }
    std::erase_if(this->lent,
                  [](const auto& entry) { return entry.second.empty(); });
}

void grant_book::on_peer_dead(std::string_view peer)
{
    const auto lent_to = this->lent.find(peer);
    if (lent_to != this->lent.end())
    {
        for (auto& [sequence, slots] : lent_to->second)
        {
            this->reclaim(slots, nullptr);
        }
        this->lent.erase(lent_to);
    }
    const auto held_from = this->held.find(peer);
    if (held_from != this->held.end())
    {
        for (const auto& [sequence, slots] : held_from->second)
        {
            this->drop_grant(slots);
        }
        this->held.erase(held_from);
    }
    if (this->open && this->open->lender == peer)
    {
        this->open.reset();
    }
    const auto known = this->peers.find(peer);
    if (known != this->peers.end())
    {
        this->peers.erase(known);
    }
}

std::size_t grant_book::lent_grants() const
{
    std::size_t count = 0;
    for (const auto& [borrower, grants] : this->lent)
    {
        count += grants.size();
    }
    return count;
}

std::size_t grant_book::held_grants() const
{
    std::size_t count = 0;
    for (const auto& [lender, grants] : this->held)
    {
        count += grants.size();
    }
    return count;
}

} // namespace jujubedrum
