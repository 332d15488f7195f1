#pragma once

#include "config/config_edit.hpp"
#include "config/config_error.hpp"
#include "config/document.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace jujubedrum
{

/// Result of applying a record of stream `config`.
enum class edit_verdict
{
    accepted,         ///< the edit is in force
    stale,            ///< the base revision is not the section's revision
    repeat,           ///< an edit with this id was accepted before
    bad_signature,    ///< the signature is not valid for the editor's key
    wrong_owner,      ///< the editor does not own the section
    invalid,          ///< the record or its section text is invalid
    ignored,          ///< read before, of another type, outdated or buffered
    snapshot_applied, ///< the snapshot replaced the reader's state
};

/// Returns the verdict's name for logs and JSON output.
[[nodiscard]] std::string_view to_string(edit_verdict verdict);

/// Verdict on an edit, with its log offset and the reason for a refusal.
struct edit_report
{
    edit_verdict verdict = edit_verdict::ignored;
    std::uint64_t offset = 0;
    config_reason reason;
    bool operator==(const edit_report&) const = default;
};

/// Folds the records of stream `config` into the configuration document in
/// force. All readers that apply the same records, or a snapshot and the
/// records after it, obtain the same document.
class config_fold
{
public:
    /// \param admin_public_key Ed25519 key of the administrator, 64 hex digits.
    explicit config_fold(std::string admin_public_key);

    /// Sets the offset of the oldest record that the log retains; call it with
    /// each page read. If it is above `next_offset()`, records were lost: the
    /// document stays in force, and the fold awaits a snapshot.
    void set_first_retained(std::uint64_t first_retained);

    /// Applies the record at the offset. Records below `next_offset()` are
    /// ignored. While a snapshot is awaited, edits are buffered until it
    /// arrives.
    edit_verdict apply(std::uint64_t offset, std::string_view record);

    /// Replaces the state by a snapshot received from a peer if the snapshot
    /// covers later records than this reader has applied, or if a snapshot is
    /// awaited. A snapshot that ends before the buffered edits begin, or whose
    /// document has an older revision than the one in force, is ignored.
    /// Reading continues at `next_offset()`.
    edit_verdict apply_peer_snapshot(std::string_view record);

    /// Returns the document in force.
    [[nodiscard]] const class document& document() const
    {
        return this->current.document;
    }
    /// Returns the offset of the last accepted edit + 1; 0 if there is none.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->current.document.revision();
    }
    /// Returns the offset of the next record to read.
    [[nodiscard]] std::uint64_t next_offset() const
    {
        return this->next_offset_value;
    }
    /// Returns whether edits are buffered until a snapshot arrives.
    [[nodiscard]] bool awaiting_snapshot() const
    {
        return this->awaiting_snapshot_value;
    }
    /// Returns the offset of the latest valid snapshot record on the log.
    [[nodiscard]] std::optional<std::uint64_t> latest_snapshot_offset() const
    {
        return this->latest_snapshot_offset_value;
    }
    /// Returns the verdict on the edit, for the last 1024 edit ids; nothing if
    /// the id is unknown. An accepted edit stays accepted when its id is used
    /// again. The offset is 0 if the id is known from a snapshot only.
    [[nodiscard]] std::optional<edit_report>
    report(const std::string& edit_id) const;
    /// Returns the reason for the latest verdict; empty if it has none.
    [[nodiscard]] const config_reason& last_reason() const
    {
        return this->last_reason_value;
    }
    /// Returns the state below `next_offset()` as a snapshot record; nothing
    /// while a snapshot is awaited or before any record was applied.
    [[nodiscard]] std::optional<std::string> make_snapshot() const;

private:
    struct stored_edit
    {
        std::uint64_t offset = 0;
        config_edit edit;
        // System edit that defines the editor's key; null for the admin.
        std::shared_ptr<const stored_edit> key_source;
    };
    using stored_edit_ptr = std::shared_ptr<const stored_edit>;

    // State that a snapshot contains.
    struct state
    {
        class document document;
        std::map<std::string, stored_edit_ptr> edits;
        std::deque<std::string> recent_ids;
        std::set<std::string> recent_id_set;
        // Offset of the last record that the snapshot covers; set only by
        // restore().
        std::uint64_t last_offset = 0;
    };

    edit_verdict apply_edit(std::uint64_t offset, std::string_view record);
    edit_verdict apply_log_snapshot(std::uint64_t offset,
                                    std::string_view record);
    edit_verdict validate_and_apply(state& target, std::uint64_t offset,
                                    const config_edit& edit,
                                    config_reason& why) const;
    std::optional<state> restore(std::string_view record,
                                 config_reason& why) const;
    edit_verdict replace_state(state restored);
    void store_report(const std::string& edit_id, const edit_report& report);

    std::string admin_public_key;
    state current;
    std::uint64_t next_offset_value = 0;
    bool awaiting_snapshot_value = false;
    // Edits read while a snapshot is awaited, without gaps from
    // first_buffered_offset on.
    std::deque<std::pair<std::uint64_t, std::string>> buffered_edits;
    std::uint64_t first_buffered_offset = 0;
    std::optional<std::uint64_t> latest_snapshot_offset_value;
    std::map<std::string, edit_report> reports;
    std::deque<std::string> report_order;
    config_reason last_reason_value;
};

} // namespace jujubedrum
