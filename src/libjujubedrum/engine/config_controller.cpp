#include "engine/config_controller.hpp"

namespace jujubedrum
{

config_controller::config_controller(const std::string& admin_public_key,
                                     microseconds log_retention,
                                     random_source& source, outbox& actions)
    : fold(admin_public_key)
    , retention(log_retention)
    , random(source)
    , out(actions)
{
}

void config_controller::on_records(const records_event& page, instant now)
{
    this->fold.set_first_retained(page.first_retained);
    for (const log_record& record : page.records)
    {
        const edit_verdict verdict =
            this->fold.apply(record.offset, record.data);
        if (verdict != edit_verdict::accepted &&
            verdict != edit_verdict::ignored &&
            verdict != edit_verdict::repeat &&
            verdict != edit_verdict::snapshot_applied)
        {
            ++this->refused_edits;
        }
    }
    this->read_to_end = this->read_to_end || page.at_end;
    this->reschedule_snapshot(now);
}

void config_controller::on_peer_records(const std::vector<log_record>& records,
                                        instant now)
{
    for (const log_record& record : records)
    {
        this->fold.apply_peer_snapshot(record.data);
    }
    this->reschedule_snapshot(now);
}

void config_controller::on_append(const append_event& result, instant now)
{
    this->appending = false;
    if (!result.offset)
    {
        // The record may have been appended nevertheless. A second snapshot is
        // harmless, whereas a missing one loses the configuration.
        this->snapshot_due = now + seconds(10);
    }
}

void config_controller::tick(instant now)
{
    if (!this->snapshot_due)
    {
        // The age of a snapshot found at start is unknown, so the first append
        // is due at a random time within the maximum age of a snapshot.
        const auto spread =
            static_cast<std::uint64_t>(this->retention.count() / 3);
        this->snapshot_due =
            now +
            microseconds(static_cast<std::int64_t>(this->random.below(spread)));
    }
    if (now < *this->snapshot_due || this->appending || !this->read_to_end)
    {
        return;
    }
    const auto record = this->fold.make_snapshot();
    this->snapshot_due = now + this->snapshot_interval();
    if (!record || this->revision() == 0)
    {
        return;
    }
    this->appending = true;
    this->out.add(append_action{stream, *record, 0});
}

std::vector<log_record> config_controller::records_for_peer() const
{
    const auto record = this->fold.make_snapshot();
    if (!record)
    {
        return {};
    }
    return {{this->fold.next_offset(), *record}};
}

void config_controller::reschedule_snapshot(instant now)
{
    const auto latest = this->fold.latest_snapshot_offset();
    if (latest == this->seen_snapshot)
    {
        return;
    }
    const bool first = !this->snapshot_due.has_value();
    this->seen_snapshot = latest;
    if (!first)
    {
        this->snapshot_due = now + this->snapshot_interval();
    }
}

microseconds config_controller::snapshot_interval()
{
    const auto spread =
        static_cast<std::uint64_t>(this->retention.count() / 12);
    return this->retention / 3 +
           microseconds(static_cast<std::int64_t>(this->random.below(spread)));
}

} // namespace jujubedrum
