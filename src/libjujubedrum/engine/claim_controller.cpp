#include "engine/claim_controller.hpp"

#include "base/hash.hpp"

#include <charconv>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::string_view stream_prefix = "claims.";

/// Minimum time until the next read after a failed or an empty read of a claim
/// stream.
constexpr microseconds read_retry_interval = milliseconds(50);

} // namespace

claim_controller::claim_controller(std::string name, std::uint64_t process,
                                   claim_settings initial,
                                   random_source& source, outbox& actions)
    : self(std::move(name))
    , incarnation(process)
    , settings(initial)
    , random(source)
    , out(actions)
{
}

std::size_t claim_controller::stream_index(std::string_view id)
{
    return stable_hash(id) % stream_count;
}

std::string claim_controller::stream_name(std::size_t index)
{
    return std::string(stream_prefix) + std::to_string(index);
}

bool claim_controller::is_claim_stream(std::string_view name)
{
    return name.starts_with(stream_prefix);
}

bool claim_controller::claim(const std::string& id, const std::string& digest,
                             wall_time created_at, instant now, wall_time wall,
                             job_reason& why)
{
    const std::size_t index = stream_index(id);
    stream_state& stream = this->state(index);
    if (!stream.ledger->claim(id, digest, created_at, now, wall, why))
    {
        return false;
    }
    this->emit_due_actions(index, stream, now);
    return true;
}

void claim_controller::on_records(const records_event& page, instant now,
                                  wall_time wall)
{
    stream_state* stream = this->find(page.stream);
    if (stream == nullptr)
    {
        return;
    }
    stream->reading = false;
    stream->ledger->on_records(page.from, page.first_retained, page.records,
                               page.at_end, now, wall);
    if (page.records.empty())
    {
        stream->next_read = now + read_retry_interval;
    }
}

void claim_controller::on_read_failed(const std::string& stream, instant now)
{
    stream_state* found = this->find(stream);
    if (found == nullptr)
    {
        return;
    }
    found->reading = false;
    found->next_read = now + read_retry_interval;
}

void claim_controller::on_append(const append_event& result)
{
    stream_state* stream = this->find(result.stream);
    if (stream == nullptr)
    {
        return;
    }
    if (result.offset)
    {
        stream->ledger->on_append_reply(result.nonce);
        stream->next_read = instant(0);
    }
    else
    {
        stream->ledger->on_append_failure(result.nonce, result.not_written);
    }
}

void claim_controller::tick(instant now, wall_time wall)
{
    for (auto& [index, stream] : this->streams)
    {
        stream.ledger->expire(now, wall);
        this->emit_due_actions(index, stream, now);
    }
}

void claim_controller::set_flush_interval(microseconds interval)
{
    this->settings.flush_interval = interval;
    for (auto& [index, stream] : this->streams)
    {
        stream.ledger->set_flush_interval(interval);
    }
}

std::vector<claim_verdict> claim_controller::take_verdicts()
{
    std::vector<claim_verdict> verdicts;
    for (auto& [index, stream] : this->streams)
    {
        for (claim_verdict& verdict : stream.ledger->take_verdicts())
        {
            verdicts.push_back(std::move(verdict));
        }
    }
    return verdicts;
}

std::optional<claim_verdict>
claim_controller::first_claim(const std::string& id) const
{
    const auto stream = this->streams.find(stream_index(id));
    return stream == this->streams.end() ? std::nullopt
                                         : stream->second.ledger->find(id);
}

std::size_t claim_controller::pending() const
{
    std::size_t total = 0;
    for (const auto& [index, stream] : this->streams)
    {
        total += stream.ledger->pending();
    }
    return total;
}

std::size_t claim_controller::known() const
{
    std::size_t total = 0;
    for (const auto& [index, stream] : this->streams)
    {
        total += stream.ledger->known();
    }
    return total;
}

claim_controller::stream_state& claim_controller::state(std::size_t index)
{
    stream_state& stream = this->streams[index];
    if (!stream.ledger)
    {
        stream.ledger = std::make_unique<claim_ledger>(
            this->self, this->incarnation, this->settings,
            this->random.next() >> 1U);
    }
    return stream;
}

claim_controller::stream_state* claim_controller::find(const std::string& name)
{
    if (!is_claim_stream(name))
    {
        return nullptr;
    }
    std::size_t index = 0;
    const std::string_view number =
        std::string_view(name).substr(stream_prefix.size());
    std::from_chars(number.data(), number.data() + number.size(), index);
    const auto found = this->streams.find(index);
    return found == this->streams.end() ? nullptr : &found->second;
}

void claim_controller::emit_due_actions(std::size_t index, stream_state& stream,
                                        instant now)
{
    while (const auto append = stream.ledger->next_append(now))
    {
        this->out.add(
            append_action{stream_name(index), append->data, append->nonce});
    }
    if (stream.ledger->needs_read() && !stream.reading &&
        now >= stream.next_read)
    {
        stream.reading = true;
        this->out.add(
            read_action{stream_name(index), stream.ledger->position()});
    }
}

} // namespace jujubedrum
