#include "membership/digest_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace jujubedrum
{

namespace
{

constexpr char format_version = 1;
constexpr std::size_t max_name_bytes = 128;
constexpr unsigned incarnation_bytes = 8;

void put_varint(std::string& to, std::uint64_t value)
{
    for (; value >= 0x80U; value >>= 7U)
    {
        to += static_cast<char>(value | 0x80U);
    }
    to += static_cast<char>(value);
}

void put_fixed64(std::string& to, std::uint64_t value)
{
    for (unsigned i = 0; i < incarnation_bytes; ++i, value >>= 8U)
    {
        to += static_cast<char>(value);
    }
}

void put_text(std::string& to, const std::string& text)
{
    const std::size_t size = std::min(text.size(), max_name_bytes);
    to += static_cast<char>(size);
    to.append(text, 0, size);
}

/// Reads fields in order; after the first error every further one is zero.
class byte_reader
{
public:
    explicit byte_reader(std::string_view bytes)
        : bytes(bytes)
    {
    }

    std::uint8_t byte()
    {
        if (this->offset >= this->bytes.size())
        {
            this->ok = false;
        }
        return this->ok ? static_cast<std::uint8_t>(this->bytes[this->offset++])
                        : 0;
    }

    std::uint64_t
    varint(std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7)
        {
            const std::uint64_t part = this->byte();
            value |= (part & 0x7fU) << shift;
            if (part < 0x80U)
            {
                this->ok = this->ok && value <= max;
                return this->ok ? value : 0;
            }
        }
        this->ok = false;
        return 0;
    }

    std::uint64_t fixed64()
    {
        std::uint64_t value = 0;
        for (unsigned i = 0; i < incarnation_bytes; ++i)
        {
            value |= std::uint64_t{this->byte()} << (8 * i);
        }
        return value;
    }

    std::string text()
    {
        const std::size_t size = this->byte();
        this->ok = this->ok && size <= max_name_bytes &&
                   size <= this->bytes.size() - this->offset;
        if (!this->ok)
        {
            return {};
        }
        this->offset += size;
        return std::string(this->bytes.substr(this->offset - size, size));
    }

    template <typename Enum>
    Enum enumerator(Enum last)
    {
        const std::uint8_t value = this->byte();
        this->ok = this->ok && value <= static_cast<std::uint8_t>(last);
        return this->ok ? static_cast<Enum>(value) : Enum{};
    }

    bool ok = true;
    std::size_t offset = 0;

private:
    std::string_view bytes;
};

constexpr std::uint64_t max_uint32 = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::string encode_digest(const peer_digest& digest)
{
    std::string bytes(1, format_version);
    put_text(bytes, digest.name);
    put_text(bytes, digest.domain);
    put_fixed64(bytes, digest.incarnation);
    bytes += static_cast<char>(digest.phase);
    put_varint(bytes, digest.heartbeat);
    put_varint(bytes, digest.revision);
    put_varint(bytes, digest.free_slots);
    put_varint(bytes, digest.queued_tasks);
    const std::size_t grant_count =
        std::min(digest.held_grants.size(), peer_digest::max_held_grants);
    put_varint(bytes, grant_count);
    for (std::size_t i = 0; i < grant_count; ++i)
    {
        put_varint(bytes, digest.held_grants[i]);
    }
    const std::size_t observation_count =
        std::min(digest.observations.size(), peer_digest::max_observations);
    put_varint(bytes, observation_count);
    for (std::size_t i = 0; i < observation_count; ++i)
    {
        const peer_observation& observation = digest.observations[i];
        put_text(bytes, observation.name);
        put_fixed64(bytes, observation.incarnation);
        put_varint(bytes, observation.heartbeat);
        bytes += static_cast<char>(observation.state);
        put_varint(bytes, observation.revision);
    }
    return bytes;
}

std::optional<peer_digest> decode_digest(std::string_view bytes,
                                         membership_reason& why)
{
    byte_reader reader(bytes);
    peer_digest digest;
    reader.ok = reader.byte() == format_version;
    digest.name = reader.text();
    digest.domain = reader.text();
    digest.incarnation = reader.fixed64();
    digest.phase = reader.enumerator(peer_phase::leaving);
    digest.heartbeat = reader.varint();
    digest.revision = reader.varint();
    digest.free_slots = static_cast<std::uint32_t>(reader.varint(max_uint32));
    digest.queued_tasks = static_cast<std::uint32_t>(reader.varint(max_uint32));
    const std::uint64_t grant_count =
        reader.varint(peer_digest::max_held_grants);
    for (std::uint64_t i = 0; i < grant_count && reader.ok; ++i)
    {
        digest.held_grants.push_back(reader.varint());
    }
    const std::uint64_t observation_count =
        reader.varint(peer_digest::max_observations);
    for (std::uint64_t i = 0; i < observation_count && reader.ok; ++i)
    {
        peer_observation observation;
        observation.name = reader.text();
        observation.incarnation = reader.fixed64();
        observation.heartbeat = reader.varint();
        observation.state = reader.enumerator(peer_state::leaving);
        observation.revision = reader.varint();
        digest.observations.push_back(std::move(observation));
    }
    if (!reader.ok)
    {
        why = {
            membership_error::malformed_digest, std::to_string(reader.offset),
            "malformed digest: truncated, a value out of range or an unknown "
            "format version"};
        return std::nullopt;
    }
    return digest;
}

} // namespace jujubedrum
