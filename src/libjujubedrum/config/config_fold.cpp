#include "config/config_fold.hpp"

#include "config/json_text.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_recent_ids = 1024;
constexpr std::size_t max_buffered_edits = 20000;
constexpr std::size_t max_snapshot_bytes = 16 * 1024 * 1024;
// A revision is an offset + 1; this bound rules out an overflow.
constexpr std::uint64_t max_offset = std::uint64_t(1) << 62U;

bool owns(const std::string& editor, const section_name& section)
{
    return editor == "admin" ||
           (!section.is_system() && editor == section.team());
}

bool read_unsigned(const json& object, const char* key, std::uint64_t& value)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
    {
        return false;
    }
    value = found->get<std::uint64_t>();
    return true;
}

std::string record_type(std::string_view record, config_reason& why)
{
    const auto object = parse_json_object(record, why, max_snapshot_bytes);
    if (!object)
    {
        return {};
    }
    const auto type = object->find("type");
    if (type == object->end() || !type->is_string())
    {
        why = {config_error::malformed, "/type", "missing, or not a string"};
        return {};
    }
    return type->get<std::string>();
}

// Returns the ids; nothing if the member is not an array of at most 1024
// strings.
std::optional<std::deque<std::string>> read_recent_ids(const json& snapshot)
{
    const auto found = snapshot.find("recent_edit_ids");
    if (found == snapshot.end() || !found->is_array() ||
        found->size() > max_recent_ids)
    {
        return std::nullopt;
    }
    std::deque<std::string> ids;
    for (const json& id : *found)
    {
        if (!id.is_string())
        {
            return std::nullopt;
        }
        ids.push_back(id.get<std::string>());
    }
    return ids;
}

} // namespace

std::string_view to_string(edit_verdict verdict)
{
    switch (verdict)
    {
    case edit_verdict::accepted:
        return "accepted";
    case edit_verdict::stale:
        return "stale";
    case edit_verdict::repeat:
        return "repeat";
    case edit_verdict::bad_signature:
        return "bad_signature";
    case edit_verdict::wrong_owner:
        return "wrong_owner";
    case edit_verdict::invalid:
        return "invalid";
    case edit_verdict::ignored:
        return "ignored";
    case edit_verdict::snapshot_applied:
        return "snapshot_applied";
    }
    return "ignored";
}

config_fold::config_fold(std::string admin_public_key)
    : admin_public_key(std::move(admin_public_key))
{
}

void config_fold::set_first_retained(std::uint64_t first_retained)
{
    if (first_retained <= this->next_offset_value)
    {
        return;
    }
    this->awaiting_snapshot_value = true;
    this->buffered_edits.clear();
    this->first_buffered_offset = first_retained;
    this->next_offset_value = first_retained;
}

edit_verdict config_fold::apply(std::uint64_t offset, std::string_view record)
{
    this->last_reason_value = {};
    if (offset < this->next_offset_value)
    {
        this->last_reason_value = {config_error::ignored, "",
                                   "offset is below the reader's position"};
        return edit_verdict::ignored;
    }
    this->next_offset_value = offset + 1;
    const std::string type = record_type(record, this->last_reason_value);
    if (type == "snapshot")
    {
        return this->apply_log_snapshot(offset, record);
    }
    if (type != "edit")
    {
        return type.empty() ? edit_verdict::invalid : edit_verdict::ignored;
    }
    if (!this->awaiting_snapshot_value)
    {
        return this->apply_edit(offset, record);
    }
    this->buffered_edits.emplace_back(offset, std::string(record));
    if (this->buffered_edits.size() > max_buffered_edits)
    {
        this->first_buffered_offset = this->buffered_edits.front().first + 1;
        this->buffered_edits.pop_front();
    }
    this->last_reason_value = {config_error::ignored, "",
                               "edit buffered until a snapshot arrives"};
    return edit_verdict::ignored;
}

edit_verdict config_fold::apply_peer_snapshot(std::string_view record)
{
    this->last_reason_value = {};
    auto restored = this->restore(record, this->last_reason_value);
    if (!restored)
    {
        return edit_verdict::invalid;
    }
    if (!this->awaiting_snapshot_value &&
        restored->last_offset < this->next_offset_value)
    {
        return edit_verdict::ignored;
    }
    return this->replace_state(std::move(*restored));
}

std::optional<edit_report> config_fold::report(const std::string& edit_id) const
{
    const auto found = this->reports.find(edit_id);
    if (found != this->reports.end())
    {
        return found->second;
    }
    if (this->current.recent_id_set.contains(edit_id))
    {
        return edit_report{edit_verdict::accepted, 0, {}};
    }
    return std::nullopt;
}

std::optional<std::string> config_fold::make_snapshot() const
{
    if (this->awaiting_snapshot_value || this->next_offset_value == 0)
    {
        return std::nullopt;
    }
    // A superseded system edit stays in the snapshot while an edit in force
    // was signed with a key that it defines, because a reader of the snapshot
    // verifies both signatures.
    std::map<std::uint64_t, const stored_edit*> needed;
    for (const auto& [name, stored] : this->current.edits)
    {
        needed[stored->offset] = stored.get();
        if (stored->key_source)
        {
            needed[stored->key_source->offset] = stored->key_source.get();
        }
    }
    nlohmann::ordered_json record;
    record["type"] = "snapshot";
    record["through"] = this->next_offset_value - 1;
    record["edits"] = json::array();
    for (const auto& [offset, stored] : needed)
    {
        nlohmann::ordered_json item;
        item["offset"] = offset;
        item["edit"] = nlohmann::ordered_json::parse(stored->edit.to_record());
        record["edits"].push_back(std::move(item));
    }
    record["recent_edit_ids"] = this->current.recent_ids;
    return record.dump();
}

edit_verdict config_fold::apply_edit(std::uint64_t offset,
                                     std::string_view record)
{
    config_reason& why = this->last_reason_value;
    const auto edit = config_edit::parse(record, why);
    if (!edit)
    {
        return edit_verdict::invalid;
    }
    if (this->current.recent_id_set.contains(edit->edit_id()))
    {
        why = {config_error::repeat, "/edit_id", "accepted before"};
        return edit_verdict::repeat;
    }
    const std::uint64_t revision =
        this->current.document.section_revision(edit->section().text());
    edit_verdict verdict = edit_verdict::stale;
    if (edit->base_revision() == revision)
    {
        verdict = this->validate_and_apply(this->current, offset, *edit, why);
    }
    else
    {
        why = {config_error::stale, "/base",
               "the section has revision " + std::to_string(revision) +
                   ", the edit was made from " +
                   std::to_string(edit->base_revision())};
    }
    if (verdict == edit_verdict::accepted)
    {
        state& updated = this->current;
        updated.recent_ids.push_back(edit->edit_id());
        updated.recent_id_set.insert(edit->edit_id());
        if (updated.recent_ids.size() > max_recent_ids)
        {
            updated.recent_id_set.erase(updated.recent_ids.front());
            updated.recent_ids.pop_front();
        }
    }
    this->store_report(edit->edit_id(), {verdict, offset, why});
    return verdict;
}

edit_verdict config_fold::apply_log_snapshot(std::uint64_t offset,
                                             std::string_view record)
{
    config_reason& why = this->last_reason_value;
    auto restored = this->restore(record, why);
    if (!restored)
    {
        return edit_verdict::invalid;
    }
    if (restored->last_offset >= offset)
    {
        why = {config_error::malformed, "/through",
               "not below the snapshot's own offset"};
        return edit_verdict::invalid;
    }
    this->latest_snapshot_offset_value = offset;
    if (!this->awaiting_snapshot_value)
    {
        why = {config_error::ignored, "", "at or below the reader's position"};
        return edit_verdict::ignored;
    }
    return this->replace_state(std::move(*restored));
}

// Checks owner, signature and schema, and sets the section. The caller checks
// the base revision: in a snapshot it does not match, since superseded edits
// are left out.
edit_verdict config_fold::validate_and_apply(state& target,
                                             std::uint64_t offset,
                                             const config_edit& edit,
                                             config_reason& why) const
{
    if (!owns(edit.editor(), edit.section()))
    {
        why = {config_error::wrong_owner, "/editor",
               "\"" + edit.editor() + "\" does not own section \"" +
                   edit.section().text() + "\""};
        return edit_verdict::wrong_owner;
    }
    const bool by_admin = edit.editor() == "admin";
    const std::string key =
        by_admin ? this->admin_public_key
                 : target.document.system().find_team_key(edit.editor());
    if (key.empty() || !edit.verify(key))
    {
        why = {config_error::bad_signature, "/signature",
               key.empty()
                   ? "team_keys holds no key of \"" + edit.editor() + "\""
                   : "not made with the key of \"" + edit.editor() + "\""};
        return edit_verdict::bad_signature;
    }
    auto updated_document = target.document.with_section(
        edit.section(), edit.body(), offset + 1, why);
    if (!updated_document)
    {
        return edit_verdict::invalid;
    }
    target.document = std::move(*updated_document);
    const auto system = target.edits.find("system");
    auto stored = std::make_shared<stored_edit>(stored_edit{
        offset, edit,
        by_admin || system == target.edits.end() ? nullptr : system->second});
    target.edits[edit.section().text()] = std::move(stored);
    return edit_verdict::accepted;
}

std::optional<config_fold::state> config_fold::restore(std::string_view record,
                                                       config_reason& why) const
{
    const auto snapshot = parse_json_object(record, why, max_snapshot_bytes);
    if (!snapshot)
    {
        return std::nullopt;
    }
    state restored;
    const auto edits = snapshot->find("edits");
    auto ids = read_recent_ids(*snapshot);
    if (!ids || edits == snapshot->end() || !edits->is_array() ||
        snapshot->value("type", json()) != "snapshot" ||
        !read_unsigned(*snapshot, "through", restored.last_offset) ||
        restored.last_offset > max_offset)
    {
        why = {config_error::malformed, "",
               "not a snapshot, or a field is missing or invalid"};
        return std::nullopt;
    }
    std::uint64_t min_offset = 0;
    for (const json& item : *edits)
    {
        std::uint64_t offset = 0;
        if (!item.is_object() || !item.contains("edit") ||
            !read_unsigned(item, "offset", offset) || offset < min_offset ||
            offset > restored.last_offset)
        {
            why = {config_error::malformed, "/edits",
                   "an edit is incomplete or out of order"};
            return std::nullopt;
        }
        min_offset = offset + 1;
        const auto edit = config_edit::parse(item["edit"].dump(), why);
        if (!edit || this->validate_and_apply(restored, offset, *edit, why) !=
                         edit_verdict::accepted)
        {
            return std::nullopt;
        }
    }
    restored.recent_id_set.insert(ids->begin(), ids->end());
    if (restored.recent_id_set.size() != ids->size())
    {
        why = {config_error::malformed, "/recent_edit_ids",
               "contains an id more than once"};
        return std::nullopt;
    }
    restored.recent_ids = std::move(*ids);
    return restored;
}

edit_verdict config_fold::replace_state(state restored)
{
    if (this->awaiting_snapshot_value &&
        restored.last_offset + 1 < this->first_buffered_offset)
    {
        this->last_reason_value = {config_error::ignored, "/through",
                                   "records after it are no longer retained"};
        return edit_verdict::ignored;
    }
    if (restored.document.revision() < this->current.document.revision())
    {
        this->last_reason_value = {config_error::stale, "/edits",
                                   "older than the document in force"};
        return edit_verdict::ignored;
    }
    const std::uint64_t last_offset = restored.last_offset;
    this->current = std::move(restored);
    this->awaiting_snapshot_value = false;
    this->next_offset_value =
        std::max(this->next_offset_value, last_offset + 1);
    const auto edits = std::exchange(this->buffered_edits, {});
    for (const auto& [offset, record] : edits)
    {
        if (offset > last_offset)
        {
            this->apply_edit(offset, record);
        }
    }
    this->last_reason_value = {};
    return edit_verdict::snapshot_applied;
}

void config_fold::store_report(const std::string& edit_id,
                               const edit_report& report)
{
    const auto found = this->reports.find(edit_id);
    if (found != this->reports.end())
    {
        if (found->second.verdict != edit_verdict::accepted)
        {
            found->second = report;
        }
        return;
    }
    this->reports.emplace(edit_id, report);
    this->report_order.push_back(edit_id);
    if (this->report_order.size() > max_recent_ids)
    {
        this->reports.erase(this->report_order.front());
        this->report_order.pop_front();
    }
}

} // namespace jujubedrum
