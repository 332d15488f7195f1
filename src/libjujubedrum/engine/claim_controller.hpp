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

/// Claims of caller-chosen ids over all claim streams.
class claim_controller
{
public:
    /// Number of claim streams, `claims.0` and up.
    static constexpr std::size_t stream_count = 16;

    claim_controller(std::string self, std::uint64_t incarnation,
                     claim_settings settings, random_source& random,
                     outbox& out);

    /// Returns the index of the stream of an id.
    [[nodiscard]] static std::size_t stream_index(std::string_view id);
    /// Returns the name of a stream.
    [[nodiscard]] static std::string stream_name(std::size_t index);
    /// Returns whether the name is that of a claim stream.
    [[nodiscard]] static bool is_claim_stream(std::string_view name);

    /// Asks for an id; `take_verdicts` gives the result later. Returns false
    /// with the reason if it is refused at once.
    bool claim(const std::string& id, const std::string& digest,
               wall_time created_at, instant now, wall_time wall,
               job_reason& why);
    /// Applies a page of a claim stream.
    void on_records(const records_event& page, instant now, wall_time wall);
    /// Notes a failed read of a claim stream.
    void on_read_failed(const std::string& stream, instant now);
    /// Notes the end of an append.
    void on_append(const append_event& result);
    /// Withdraws overdue claims, appends and reads what is due.
    void tick(instant now, wall_time wall);
    /// Sets the time between two appends to a stream.
    void set_flush_interval(microseconds interval);
    /// Returns and removes the verdicts so far.
    std::vector<claim_verdict> take_verdicts();

    /// Returns the first claim of an id, if its stream has been read that far.
    [[nodiscard]] std::optional<claim_verdict>
    first_claim(const std::string& id) const;

    /// Returns the number of ids without a verdict.
    [[nodiscard]] std::size_t pending() const;
    /// Returns the number of claims remembered.
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
