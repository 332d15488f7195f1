#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "engine/events.hpp"
#include "engine/outbox.hpp"
#include "jobs/claim_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Claims caller-chosen ids on the claim streams of the platform's log.
class claim_controller
{
public:
    /// Number of claim streams, which are named `claims.0`, `claims.1` and so
    /// on.
    static constexpr std::size_t stream_count = 16;

    claim_controller(std::string self, std::uint64_t incarnation,
                     claim_settings settings, random_source& random,
                     outbox& out);

    /// Returns the index of the stream on which an id is claimed.
    [[nodiscard]] static std::size_t stream_index(std::string_view id);
    /// Returns the name of a stream.
    [[nodiscard]] static std::string stream_name(std::size_t index);
    /// Returns whether the name is that of a claim stream.
    [[nodiscard]] static bool is_claim_stream(std::string_view name);

    /// Starts to claim an id; `take_verdicts` returns the result later. Returns
    /// false and sets `why` if the claim is refused at once.
    bool claim(const std::string& id, const std::string& digest,
               wall_time created_at, instant now, wall_time wall,
               job_reason& why);
    /// Applies a page of a claim stream.
    void on_records(const records_event& page, instant now, wall_time wall);
    /// Schedules another read of a claim stream after a failed one.
    void on_read_failed(const std::string& stream, instant now);
    /// Handles the result of an append.
    void on_append(const append_event& result);
    /// Withdraws claims that timed out and issues the appends and reads that
    /// are due.
    void tick(instant now, wall_time wall);
    /// Sets the time between two appends to a stream.
    void set_flush_interval(microseconds interval);
    /// Returns and removes the verdicts so far.
    std::vector<claim_verdict> take_verdicts();

    /// Returns the first claim of an id, or nothing if the stream has not been
    /// read up to it.
    [[nodiscard]] std::optional<claim_verdict>
    first_claim(const std::string& id) const;

    /// Returns the number of ids without a verdict.
    [[nodiscard]] std::size_t pending() const;
    /// Returns the number of claims stored.
    [[nodiscard]] std::size_t known() const;

private:
    struct stream_state
    {
        std::unique_ptr<claim_ledger> ledger;
        bool reading = false;
        instant next_read{0};
    };

    stream_state& state(std::size_t index);
    stream_state* find(const std::string& stream);
    void emit_due_actions(std::size_t index, stream_state& stream, instant now);

    std::string self;
    std::uint64_t incarnation;
    claim_settings settings;
    random_source& random;
    outbox& out;
    std::map<std::size_t, stream_state> streams;
};

} // namespace jujubedrum
