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

/// Timeouts, intervals and bounds of a claim ledger.
class claim_settings
{
public:
    /// Maximum age of an id that can be claimed. Must be below a third of the
    /// retention period of the log, so that earlier claims of an id within
    /// the window are always retained, even if the ledger starts reading at
    /// the first retained record of a trimmed stream.
    wall_time window{600'000};
    /// Maximum time by which the clock of a caller, and so the creation time of
    /// an id, may be ahead of the clock of this instance.
    wall_time clock_skew{30'000};
    /// Time after which a pending claim is withdrawn, and after which an
    /// append not read back is no longer counted as outstanding.
    microseconds timeout = seconds(3);
    /// Minimum time between two appends, before back-off.
    microseconds flush_interval = milliseconds(5);
    std::size_t max_pending_claims = 4096;
    /// Maximum number of stored claims, and of stored withdrawn ids. Beyond
    /// it, the oldest ids are evicted and can no longer be verified. A claim
    /// takes about 430 bytes, so the claims of 16 streams take at most 138 MB.
    std::size_t max_known_claims = 20'000;
    /// Maximum number of appended records that were not yet read back.
    std::size_t max_outstanding_appends = 4;
};

/// Result of a claim.
enum class claim_result
{
    won,       ///< only this process may start the id
    lost,      ///< the stream holds an earlier claim of the id
    withdrawn, ///< undecided at the timeout; start it only if claimed again
};

/// Result of the claim of one id.
class claim_verdict
{
public:
    std::string id;
    claim_result result = claim_result::withdrawn;
    /// Instance and incarnation that claimed the id. For `lost` this can be
    /// this process, if it claimed the id before.
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Digest in the winning claim, empty for `withdrawn`. It differs from the
    /// digest passed to `claim` if another body was submitted under the id.
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

/// Claims of one stream. A state machine without I/O. An id is won only when
/// the stream has been read up to the record of this process and holds no
/// earlier claim of the id. The reply to an append never decides a claim.
class claim_ledger
{
public:
    /// \param first_nonce a random number, so that two ledgers that one
    /// process uses one after the other on a stream do not take each other's
    /// records for their own.
    claim_ledger(std::string instance, std::uint64_t incarnation,
                 claim_settings settings, std::uint64_t first_nonce);

    /// Claims an id; `take_verdicts` returns the verdict later. An id that was
    /// withdrawn may be claimed again. Returns false and sets `why` to
    /// `too_old`, `in_future` or `capacity_exceeded` if the claim is refused;
    /// then no verdict follows.
    bool claim(const std::string& id, const std::string& digest,
               wall_time created_at, instant now, wall_time wall,
               job_reason& why);
    /// Returns the record to append now, if any. The caller must append it to
    /// the log at most once.
    std::optional<claim_append> next_append(instant now);
    /// Handles a successful append. Ends the back-off after failures; the
    /// claims are decided only by reading the stream.
    void on_append_reply(std::uint64_t nonce);
    /// Handles a failed append.
    /// \param not_written true only if the record is certainly not in the log.
    /// Its ids are then appended again until their timeout. Otherwise reading
    /// the stream decides.
    void on_append_failure(std::uint64_t nonce, bool not_written);
    /// Returns the offset to read from next.
    [[nodiscard]] std::uint64_t position() const { return this->next_offset; }
    /// Handles the reply to a read. A reply with missing records is dropped
    /// from the gap on and counted in `gaps`.
    /// \param from offset that the read requested.
    /// \param first_retained lowest offset that the log still retains.
    /// \param records records in offset order, without gaps.
    /// \param at_end whether the reply reached the end of the stream, that
    /// is, has fewer records than requested.
    void on_records(std::uint64_t from, std::uint64_t first_retained,
                    const std::vector<log_record>& records, bool at_end,
                    instant now, wall_time wall);
    /// Withdraws claims whose timeout has passed and evicts ids older than
    /// the window.
    void expire(instant now, wall_time wall);
    /// Removes and returns the verdicts emitted since the last call, in order.
    std::vector<claim_verdict> take_verdicts();
    /// Sets the minimum time between two appends, before back-off.
    void set_flush_interval(microseconds interval);

    /// Returns whether the stream must be read: it was not yet read to its
    /// end, or an appended record was not yet read back.
    [[nodiscard]] bool needs_read() const;
    /// Returns the first claim of the id on the stream as a `lost` verdict, or
    /// nothing if no claim of the id is stored.
    [[nodiscard]] std::optional<claim_verdict>
    find(const std::string& id) const;
    /// Returns whether the stream has been read to its end at least once.
    [[nodiscard]] bool caught_up() const { return this->read_to_end; }
    /// Returns the number of ids without a verdict.
    [[nodiscard]] std::size_t pending() const
    {
        return this->pending_claims.size();
    }
    /// Returns the number of stored claims.
    [[nodiscard]] std::size_t known() const { return this->claims.size(); }
    /// Returns the number of malformed records ignored.
    [[nodiscard]] std::uint64_t malformed() const
    {
        return this->malformed_count;
    }
    /// Returns the number of replies to reads in which records were missing.
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
        /// Nonce of the append that holds the id; 0 while the id is queued.
        std::uint64_t nonce = 0;
    };

    struct batch
    {
        std::vector<std::string> ids;
        instant sent_at{};
    };

    [[nodiscard]] bool verifiable(wall_time created_at) const;
    /// Emits a verdict if a claim of the id is stored; returns whether it did.
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
    /// Removes the id from the withdrawn ids. Returns false if it was not
    /// withdrawn, or was claimed again since.
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
    /// Latest wall time observed: ids that left the window must not become
    /// valid again when the clock is set back.
    wall_time latest_wall{};
    /// Ids created at or before this time can no longer be verified.
    wall_time unverifiable_through{-1};
    std::unordered_map<std::string, stored_claim> claims;
    std::set<std::pair<wall_time, std::string>> claims_by_age;
    std::unordered_map<std::string, pending_claim> pending_claims;
    std::deque<std::string> append_queue;
    /// Time of each claim and its id, the oldest first. An id that was claimed
    /// again has several entries.
    std::deque<std::pair<instant, std::string>> timeout_queue;
    std::map<std::uint64_t, batch> outstanding;
    std::set<std::pair<wall_time, std::string>> withdrawn_by_age;
    std::unordered_map<std::string, wall_time> withdrawn;
    std::vector<claim_verdict> verdicts;
    std::uint64_t malformed_count = 0;
    std::uint64_t gap_count = 0;
};

} // namespace jujubedrum
