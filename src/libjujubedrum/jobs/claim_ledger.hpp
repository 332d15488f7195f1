#pragma once

#include "base/log_record.hpp"
#include "base/time.hpp"
#include "jobs/claim_record.hpp"
#include "jobs/job_error.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// Times and bounds of a claim ledger.
class claim_settings
{
public:
    /// Oldest id that can be claimed. Must be below a third of the retention
    /// of the log: an earlier claim of an id within the window is then always
    /// retained, even if the ledger starts to read at a trimmed stream.
    wall_time window{600'000};
    /// Largest lead of a caller's clock.
    wall_time clock_skew{30'000};
    /// Time after which an unresolved claim is withdrawn.
    microseconds timeout = seconds(3);
    /// Time between two appends.
    microseconds flush_interval = milliseconds(5);
    std::size_t max_pending_claims = 4096;
    /// Claims remembered at most; beyond, the oldest ids become unverifiable.
    /// A claim takes about 430 bytes, so 16 streams take at most 138 MB.
    std::size_t max_known_claims = 20'000;
    /// Appended records not yet read back, at most.
    std::size_t max_outstanding_appends = 4;
};

/// How a claim ended.
enum class claim_result
{
    won,       ///< this process alone may start the id
    lost,      ///< an earlier claim of the id is on the stream
    withdrawn, ///< unresolved in time: not started here unless claimed again
};

/// How the claim of one id ended.
class claim_verdict
{
public:
    std::string id;
    claim_result result = claim_result::withdrawn;
    /// Holder of the id, for `lost`: instance, incarnation and digest. The
    /// holder can be this process, if it claimed the id before.
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Digest in the winning claim; differs from the caller's on a conflict.
    std::string digest;

    bool operator==(const claim_verdict&) const = default;
};

/// A record to append, identified by its nonce.
class claim_append
{
public:
    std::uint64_t nonce = 0;
    std::string data;
};

/// Claims of one stream. A pure state machine: an id is won only by reading
/// the stream up to the own record without an earlier claim of the id; the
/// reply to an append never decides.
class claim_ledger
{
public:
    /// \param first_nonce random, so that two ledgers of one process that
    /// follow each other on a stream do not mistake each other's records.
    claim_ledger(std::string instance, std::uint64_t incarnation,
                 claim_settings settings, std::uint64_t first_nonce);

    /// Asks for an id, also again after it was withdrawn; a verdict follows.
    /// Returns false with `too_old`,
    /// `in_future` or `capacity_exceeded` and then emits no verdict.
    bool claim(const std::string& id, const std::string& digest,
               wall_time created_at, instant now, wall_time wall,
               job_reason& why);
    /// Returns the record to append now, if any. The record must be given to
    /// the log at most once.
    std::optional<claim_append> next_append(instant now);
    /// Notes that the append took effect. Ends the back-off after failures; the
    /// ids are decided by reading alone.
    void on_append_reply(std::uint64_t nonce);
    /// Notes a failed append.
    /// \param not_written true only if the record certainly is not on the
    /// log: its ids are then appended again until their timeout. Otherwise
    /// reading the stream decides.
    void on_append_failure(std::uint64_t nonce, bool not_written);
    /// Returns the offset to read from next.
    [[nodiscard]] std::uint64_t position() const { return this->next_offset; }
    /// Feeds a reply to a read.
    /// \param from offset the read asked for.
    /// \param first_retained lowest offset still on the log.
    /// \param records in offset order, without holes.
    /// \param at_end whether the reply reached the end of the stream, as one
    /// with fewer records than asked for does.
    void on_records(std::uint64_t from, std::uint64_t first_retained,
                    const std::vector<log_record>& records, bool at_end,
                    instant now, wall_time wall);
    /// Withdraws claims past their timeout and forgets ids past the window.
    void expire(instant now, wall_time wall);
    /// Returns and removes the verdicts so far, in order.
    std::vector<claim_verdict> take_verdicts();
    /// Sets the time between two appends.
    void set_flush_interval(microseconds interval);

    /// Returns whether a read for own records is wanted.
    [[nodiscard]] bool needs_read() const;
    /// Returns the first claim of an id that was read, as a `lost` verdict.
    [[nodiscard]] std::optional<claim_verdict>
    find(const std::string& id) const;
    /// Returns whether the stream was read to its end once.
    [[nodiscard]] bool caught_up() const { return this->read_to_end; }
    /// Returns the number of ids without a verdict.
    [[nodiscard]] std::size_t pending() const
    {
        return this->pending_claims.size();
    }
    /// Returns the number of claims remembered.
    [[nodiscard]] std::size_t known() const { return this->claims.size(); }
    /// Returns the number of malformed records ignored.
    [[nodiscard]] std::uint64_t malformed() const
    {
        return this->malformed_count;
    }
    /// Returns the number of replies dropped because records were missing.
    [[nodiscard]] std::uint64_t gaps() const { return this->gap_count; }

private:
    struct stored_claim
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        std::string digest;
        wall_time created_at{};
    };
    struct pending_claim
    {
        std::string digest;
        wall_time created_at{};
        instant claimed_at{};
        /// Nonce of the append that carries the id; 0 while it waits.
        std::uint64_t nonce = 0;
    };

    struct batch
    {
        std::vector<std::string> ids;
        instant sent_at{};
    };

    [[nodiscard]] bool verifiable(wall_time created_at) const;
    /// Returns whether the id has a verdict already, and emits it again.
    bool emit_known_verdict(const std::string& id, const std::string& digest);
    [[nodiscard]] microseconds append_interval() const;
    std::vector<claimed_id> next_batch(std::uint64_t nonce);
    void advance_wall_clock(wall_time wall);
    void evict_old_ids();
    void evict_oldest_id();
    void apply(const log_record& record);
    void apply(const claimed_id& claimed, const claim_record& record);
    void store_claim(const claimed_id& claimed, const claim_record& record);
    void decide(const claimed_id& claimed, const claim_record& record);
    void withdraw(const std::string& id, wall_time created_at);
    void store_withdrawn(const std::string& id, wall_time created_at);
    /// Returns whether the id was withdrawn and not claimed again since.
    bool erase_withdrawn(const std::string& id);
    void withdraw_timed_out(instant now);
    void emit_lost(const std::string& id, const stored_claim& first);
    void emit_won(const std::string& id, const std::string& digest);
    [[nodiscard]] bool is_self(const std::string& instance,
                               std::uint64_t incarnation) const;

    std::string instance;
    std::uint64_t incarnation;
    claim_settings settings;
    std::uint64_t last_nonce;
    std::uint64_t next_offset = 0;
    bool read_to_end = false;
    std::optional<instant> last_append;
    unsigned append_failures = 0;
    /// Latest wall time seen: a clock set back must not reopen the window.
    wall_time latest_wall{};
    /// Ids created at or before this time can no longer be verified.
    wall_time unverifiable_through{-1};
    std::unordered_map<std::string, stored_claim> claims;
    std::set<std::pair<wall_time, std::string>> claims_by_age;
    std::unordered_map<std::string, pending_claim> pending_claims;
    std::deque<std::string> append_queue;
    /// When each id was claimed, the oldest first. An id that is claimed again
    /// has several entries.
    std::deque<std::pair<instant, std::string>> timeout_queue;
    std::map<std::uint64_t, batch> outstanding;
    std::set<std::pair<wall_time, std::string>> withdrawn_by_age;
    std::unordered_map<std::string, wall_time> withdrawn;
    std::vector<claim_verdict> verdicts;
    std::uint64_t malformed_count = 0;
    std::uint64_t gap_count = 0;
};

} // namespace jujubedrum
