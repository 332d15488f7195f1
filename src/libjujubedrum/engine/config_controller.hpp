#pragma once

#include "base/log_record.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"
#include "config/config_fold.hpp"
#include "engine/events.hpp"
#include "engine/outbox.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Maintains the configuration in force: folds the records of the log, adopts
/// snapshots from peers while the platform is unavailable, and appends a new
/// snapshot before the log's retention removes the latest one.
class config_controller
{
public:
    /// Name of the stream on the platform's log.
    static constexpr const char* stream = "config";

    /// \param retention how long the log keeps records.
    config_controller(const std::string& admin_public_key,
                      microseconds retention, random_source& random,
                      outbox& out);

    /// Applies a page of the stream.
    void on_records(const records_event& page, instant now);
    /// Counts a failed read of the stream.
    void on_read_failed() { ++this->failed_reads; }
    /// Adopts a snapshot that a peer sent.
    void on_peer_records(const std::vector<log_record>& records, instant now);
    /// Handles the result of a snapshot append.
    void on_append(const append_event& result, instant now);
    /// Appends a snapshot when one is due.
    void tick(instant now);

    /// Returns the state as one snapshot record for a peer, or an empty list if
    /// no snapshot can be made.
    [[nodiscard]] std::vector<log_record> records_for_peer() const;
    /// Returns the document in force.
    [[nodiscard]] const class document& document() const
    {
        return this->fold.document();
    }
    /// Returns the revision in force.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->fold.revision();
    }
    /// Returns whether the stream has been read to its end at least once.
    [[nodiscard]] bool caught_up() const { return this->read_to_end; }
    /// Returns the number of failed reads of the stream.
    [[nodiscard]] std::uint64_t read_failures() const
    {
        return this->failed_reads;
    }
    /// Returns the number of records that were refused.
    [[nodiscard]] std::uint64_t refused() const { return this->refused_edits; }
    /// Returns the offset to read from next.
    [[nodiscard]] std::uint64_t next_offset() const
    {
        return this->fold.next_offset();
    }

private:
    void reschedule_snapshot(instant now);
    [[nodiscard]] microseconds snapshot_interval();

    config_fold fold;
    microseconds retention;
    random_source& random;
    outbox& out;
    std::optional<std::uint64_t> seen_snapshot;
    std::optional<instant> snapshot_due;
    bool appending = false;
    bool read_to_end = false;
    std::uint64_t failed_reads = 0;
    std::uint64_t refused_edits = 0;
};

} // namespace jujubedrum
