#include "jobs/claim_ledger.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Maximum number of doublings of the append interval after failed appends:
/// 5 ms becomes at most 320 ms, well below the claim timeout.
constexpr unsigned max_doublings = 6;

} // namespace

claim_ledger::claim_ledger(std::string instance, std::uint64_t incarnation,
                           claim_settings settings, std::uint64_t first_nonce)
    : instance(std::move(instance))
    , incarnation(incarnation)
    , settings(settings)
    , last_nonce(first_nonce)
{
}

bool claim_ledger::claim(const std::string& id, const std::string& digest,
                         wall_time created_at, instant now, wall_time wall,
                         job_reason& why)
{
    this->advance_wall_clock(wall);
    if (created_at > wall + this->settings.clock_skew)
    {
        why = job_reason(job_error::in_future, "/created_at_ms",
                         "is too far in the future; check the clock");
        return false;
    }
    if (!this->verifiable(created_at))
    {
        why = job_reason(job_error::too_old, "/created_at_ms",
                         "is too old; earlier starts of the id can no longer "
                         "be ruled out");
        return false;
    }
    if (this->pending_claims.contains(id) ||
        this->emit_known_verdict(id, digest))
    {
        return true;
    }
    if (this->pending_claims.size() >= this->settings.max_pending_claims)
    {
        why = job_reason(job_error::capacity_exceeded, "",
                         "too many claims are waiting for the log");
        return false;
    }
    this->pending_claims.emplace(id, pending_claim{digest, created_at, now, 0});
    this->append_queue.push_back(id);
    this->timeout_queue.emplace_back(now, id);
    return true;
}

bool claim_ledger::emit_known_verdict(const std::string& id,
                                      const std::string& digest)
{
    const auto known = this->claims.find(id);
    if (known == this->claims.end())
    {
        // No caller was told that the withdrawn id did not run, so it may be
        // claimed again.
        this->erase_withdrawn(id);
        return false;
    }
    const stored_claim& first = known->second;
    if (this->is_self(first.instance, first.incarnation) &&
        first.digest == digest && this->erase_withdrawn(id))
    {
        // The record was read after the timeout; nothing was started under
        // it.
        this->emit_won(id, digest);
        return true;
    }
    this->emit_lost(id, first);
    return true;
}

std::optional<claim_verdict> claim_ledger::find(const std::string& id) const
{
    const auto known = this->claims.find(id);
    if (known == this->claims.end())
    {
        return std::nullopt;
    }
    const stored_claim& first = known->second;
    return claim_verdict{id, claim_result::lost, first.instance,
                         first.incarnation, first.digest};
}

std::optional<claim_append> claim_ledger::next_append(instant now)
{
    this->withdraw_timed_out(now);
    if (this->append_queue.empty() || !this->read_to_end ||
        this->outstanding.size() >= this->settings.max_outstanding_appends ||
        (this->last_append &&
         now - *this->last_append < this->append_interval()))
    {
        return std::nullopt;
    }
    // Nonce 0 marks a queued claim and is skipped.
    this->last_nonce += this->last_nonce + 1 == 0 ? 2 : 1;
    const std::uint64_t nonce = this->last_nonce;
    claim_record record{this->instance, this->incarnation, nonce,
                        this->next_batch(nonce)};
    if (record.ids.empty())
    {
        return std::nullopt;
    }
    batch sent;
    sent.sent_at = now;
    for (const claimed_id& claimed : record.ids)
    {
        sent.ids.push_back(claimed.id);
    }
    this->outstanding.emplace(nonce, std::move(sent));
    this->last_append = now;
    return claim_append{nonce, record.to_json()};
}

microseconds claim_ledger::append_interval() const
{
    return this->settings.flush_interval *
           (1U << std::min(this->append_failures, max_doublings));
}

std::vector<claimed_id> claim_ledger::next_batch(std::uint64_t nonce)
{
    std::vector<claimed_id> ids;
    while (!this->append_queue.empty() && ids.size() < claim_record::max_ids)
    {
        const std::string id = std::move(this->append_queue.front());
        this->append_queue.pop_front();
        const auto found = this->pending_claims.find(id);
        // The queue can hold ids whose claims were already decided.
        if (found != this->pending_claims.end() && found->second.nonce == 0)
        {
            found->second.nonce = nonce;
            ids.push_back({id, found->second.digest, found->second.created_at});
        }
    }
    return ids;
}

void claim_ledger::on_append_reply(std::uint64_t nonce)
{
    if (this->outstanding.contains(nonce))
    {
        this->append_failures = 0;
    }
}

void claim_ledger::on_append_failure(std::uint64_t nonce, bool not_written)
{
    this->append_failures = std::min(this->append_failures + 1, max_doublings);
    const auto found = this->outstanding.find(nonce);
    if (!not_written || found == this->outstanding.end())
    {
        return;
    }
    for (const std::string& id : found->second.ids)
    {
        const auto claim = this->pending_claims.find(id);
        if (claim != this->pending_claims.end() && claim->second.nonce == nonce)
        {
            claim->second.nonce = 0;
            this->append_queue.push_back(id);
        }
    }
    this->outstanding.erase(found);
}

void claim_ledger::on_records(std::uint64_t from, std::uint64_t first_retained,
                              const std::vector<log_record>& records,
                              bool at_end, instant now, wall_time wall)
{
    // A process that was suspended must withdraw its claims before it applies
    // records: records before its own may have been trimmed meanwhile.
    this->withdraw_timed_out(now);
    this->advance_wall_clock(wall);
    if (from > this->next_offset)
    {
        ++this->gap_count;
        return;
    }
    this->next_offset = std::max(this->next_offset, first_retained);
    for (const log_record& record : records)
    {
        if (record.offset < this->next_offset)
        {
            continue;
        }
        if (record.offset > this->next_offset)
        {
            ++this->gap_count;
            return;
        }
        this->apply(record);
        ++this->next_offset;
    }
    this->read_to_end = this->read_to_end || at_end;
}

void claim_ledger::apply(const log_record& record)
{
    const std::optional<claim_record> parsed = claim_record::parse(record.data);
    if (!parsed)
    {
        ++this->malformed_count;
        return;
    }
    for (const claimed_id& claimed : parsed->ids)
    {
        this->apply(claimed, *parsed);
    }
    if (this->is_self(parsed->instance, parsed->incarnation))
    {
        this->outstanding.erase(parsed->nonce);
    }
}

void claim_ledger::apply(const claimed_id& claimed, const claim_record& record)
{
    if (this->claims.contains(claimed.id))
    {
        return;
    }
    this->decide(claimed, record);
    if (this->verifiable(claimed.created_at))
    {
        this->store_claim(claimed, record);
    }
}

void claim_ledger::decide(const claimed_id& claimed, const claim_record& record)
{
    const auto found = this->pending_claims.find(claimed.id);
    if (found == this->pending_claims.end())
    {
        return;
    }
    const pending_claim pending = found->second;
    this->pending_claims.erase(found);
    if (!this->is_self(record.instance, record.incarnation))
    {
        this->emit_lost(
            claimed.id,
            {record.instance, record.incarnation, claimed.digest, {}});
        return;
    }
    // The first record of this process decides, even if its append was
    // reported as not written or its claim was withdrawn: the id was never
    // started under it, and later records of the id are not applied.
    if (!this->verifiable(pending.created_at))
    {
        this->withdraw(claimed.id, pending.created_at);
        return;
    }
    if (pending.digest != claimed.digest)
    {
        // The record claims the job first submitted here under this id.
        this->store_withdrawn(claimed.id, pending.created_at);
        this->emit_lost(
            claimed.id,
            {record.instance, record.incarnation, claimed.digest, {}});
        return;
    }
    this->emit_won(claimed.id, pending.digest);
}

void claim_ledger::expire(instant now, wall_time wall)
{
    this->withdraw_timed_out(now);
    this->advance_wall_clock(wall);
}

std::vector<claim_verdict> claim_ledger::take_verdicts()
{
    return std::exchange(this->verdicts, {});
}

void claim_ledger::set_flush_interval(microseconds interval)
{
    this->settings.flush_interval = interval;
}

bool claim_ledger::needs_read() const
{
    return !this->read_to_end || !this->outstanding.empty();
}

bool claim_ledger::verifiable(wall_time created_at) const
{
    return created_at >= this->latest_wall - this->settings.window &&
           created_at > this->unverifiable_through;
}

void claim_ledger::advance_wall_clock(wall_time wall)
{
    this->latest_wall = std::max(this->latest_wall, wall);
    this->evict_old_ids();
}

void claim_ledger::evict_old_ids()
{
    const auto needs_eviction =
        [this](const std::set<std::pair<wall_time, std::string>>& ages)
    {
        return !ages.empty() && (!this->verifiable(ages.begin()->first) ||
                                 ages.size() > this->settings.max_known_claims);
    };
    while (needs_eviction(this->claims_by_age) ||
           needs_eviction(this->withdrawn_by_age))
    {
        this->evict_oldest_id();
    }
}

void claim_ledger::evict_oldest_id()
{
    const bool is_claim =
        this->withdrawn_by_age.empty() ||
        (!this->claims_by_age.empty() &&
         *this->claims_by_age.begin() < *this->withdrawn_by_age.begin());
    auto& ages = is_claim ? this->claims_by_age : this->withdrawn_by_age;
    const auto& [created_at, id] = *ages.begin();
    // Ids created at or before the evicted id can no longer be verified.
    this->unverifiable_through =
        std::max(this->unverifiable_through, created_at);
    if (is_claim)
    {
        this->claims.erase(id);
    }
    else
    {
        this->withdrawn.erase(id);
    }
    ages.erase(ages.begin());
}

void claim_ledger::store_claim(const claimed_id& claimed,
                               const claim_record& record)
{
    this->claims.emplace(claimed.id,
                         stored_claim{record.instance, record.incarnation,
                                      claimed.digest, claimed.created_at});
    this->claims_by_age.emplace(claimed.created_at, claimed.id);
    this->evict_old_ids();
}

void claim_ledger::withdraw(const std::string& id, wall_time created_at)
{
    this->store_withdrawn(id, created_at);
    this->verdicts.push_back(
        {id, claim_result::withdrawn, this->instance, this->incarnation, ""});
}

void claim_ledger::store_withdrawn(const std::string& id, wall_time created_at)
{
    if (this->withdrawn.emplace(id, created_at).second)
    {
        this->withdrawn_by_age.emplace(created_at, id);
    }
}

bool claim_ledger::erase_withdrawn(const std::string& id)
{
    const auto found = this->withdrawn.find(id);
    if (found == this->withdrawn.end())
    {
        return false;
    }
    this->withdrawn_by_age.erase({found->second, id});
    this->withdrawn.erase(found);
    return true;
}

void claim_ledger::withdraw_timed_out(instant now)
{
    while (!this->timeout_queue.empty() &&
           now - this->timeout_queue.front().first >= this->settings.timeout)
    {
        const std::string id = std::move(this->timeout_queue.front().second);
        this->timeout_queue.pop_front();
        const auto found = this->pending_claims.find(id);
        if (found != this->pending_claims.end() &&
            now - found->second.claimed_at >= this->settings.timeout)
        {
            const wall_time created_at = found->second.created_at;
            this->pending_claims.erase(found);
            this->withdraw(id, created_at);
        }
    }
    std::erase_if(
        this->outstanding, [this, now](const auto& entry)
        { return now - entry.second.sent_at >= this->settings.timeout; });
}

void claim_ledger::emit_lost(const std::string& id, const stored_claim& first)
{
    this->verdicts.push_back({id, claim_result::lost, first.instance,
                              first.incarnation, first.digest});
}

void claim_ledger::emit_won(const std::string& id, const std::string& digest)
{
    this->verdicts.push_back(
        {id, claim_result::won, this->instance, this->incarnation, digest});
}

bool claim_ledger::is_self(const std::string& instance,
                           std::uint64_t incarnation) const
{
    return instance == this->instance && incarnation == this->incarnation;
}

} // namespace jujubedrum
