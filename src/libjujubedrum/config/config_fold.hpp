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

/// What became of a record of stream `config`.
enum class edit_verdict
{
    accepted,         ///< the edit is in force
    stale,            ///< the section has another revision than the base
    repeat,           ///< the edit id was accepted before
    bad_signature,    ///< not signed by the key of the editor
    wrong_owner,      ///< the editor does not own the section
    invalid,          ///< the record or its section text is malformed
    ignored,          ///< behind the reader, of another type, or held back
    snapshot_applied, ///< the reader's state comes from this snapshot
};

/// Returns the verdict as a word for logs and JSON output.
[[nodiscard]] std::string_view to_string(edit_verdict verdict);

/// Verdict on an edit with the reason for a refusal.
struct edit_report
{
    edit_verdict verdict = edit_verdict::ignored;
    std::uint64_t offset = 0;
    config_reason reason;
    bool operator==(const edit_report&) const = default;
};

/// Folds the records of stream `config` into the document in force. Every
/// reader that applies the same records, or a snapshot and the records after
/// it, holds the same document.
class config_fold
{
public:
    /// \param admin_public_key Ed25519 key of the administrator, 64 hex digits.
    explicit config_fold(std::string admin_public_key);

    /// Tells the fold where the log's retained records start. If records were
    /// lost between its position and this offset, it keeps its document in
    /// force and waits for a snapshot. Call with each page read.
    void set_first_retained(std::uint64_t first_retained);

    /// Applies the record at the offset. Records behind `next_offset()` are
    /// ignored; while waiting, edits are held back until a snapshot arrives.
    edit_verdict apply(std::uint64_t offset, std::string_view record);

    /// Adopts a snapshot received from a peer, if it is ahead of this reader.
    /// Reading goes on at `next_offset()`.
    edit_verdict apply_peer_snapshot(std::string_view record);

    /// Returns the document in force.
    [[nodiscard]] const class document& document() const
    {
        return this->current.document;
    }
    /// Returns the highest accepted offset + 1.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->current.document.revision();
    }
    /// Returns the offset of the first record not yet applied or held back.
    [[nodiscard]] std::uint64_t next_offset() const
    {
        return this->next_offset_value;
    }
    /// Returns whether records are held back until a snapshot arrives.
    [[nodiscard]] bool awaiting_snapshot() const
    {
        return this->awaiting_snapshot_value;
    }
    /// Returns the offset of the latest valid snapshot record seen on the log.
    [[nodiscard]] std::optional<std::uint64_t> latest_snapshot_offset() const
    {
        return this->latest_snapshot_offset_value;
    }
    /// Returns the verdict on the edit, for the last 1024 edit ids; nothing if
    /// the id is unknown. An accepted edit stays accepted when it is repeated.
    [[nodiscard]] std::optional<edit_report>
    report(const std::string& edit_id) const;
    /// Returns the reason of the latest verdict.
    [[nodiscard]] const config_reason& last_reason() const
    {
        return this->last_reason_value;
    }
    /// Returns the state up to `next_offset()` as a snapshot record. Nothing
    /// while waiting for a snapshot, or before any record was applied.
    [[nodiscard]] std::optional<std::string> make_snapshot() const;

private:
    struct stored_edit
    {
        std::uint64_t offset = 0;
        config_edit edit;
        // System edit that held the editor's key; null if the editor is admin.
        std::shared_ptr<const stored_edit> key_source;
    };
    using stored_edit_ptr = std::shared_ptr<const stored_edit>;

    // Part of the fold that a snapshot carries.
    struct state
    {
        class document document;
        std::map<std::string, stored_edit_ptr> edits;
        std::deque<std::string> recent_ids;
        std::set<std::string> recent_id_set;
        // Offset of the last record folded; set by restore() only.
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
    // Edits read while waiting; complete from offset first_buffered_offset on.
    std::deque<std::pair<std::uint64_t, std::string>> buffered_edits;
    std::uint64_t first_buffered_offset = 0;
    std::optional<std::uint64_t> latest_snapshot_offset_value;
    std::map<std::string, edit_report> reports;
    std::deque<std::string> report_order;
    config_reason last_reason_value;
};

} // namespace jujubedrum
