#include "peer_convert.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr unsigned max_list = 4096;

peer_phase read_phase(wire::Phase from)
{
    switch (from)
    {
    case wire::Phase::READY:
        return peer_phase::ready;
    case wire::Phase::LEAVING:
        return peer_phase::leaving;
    default:
        return peer_phase::starting;
    }
}

peer_state read_state(wire::State from)
{
    switch (from)
    {
    case wire::State::ALIVE:
        return peer_state::alive;
    case wire::State::UNREACHABLE:
        return peer_state::unreachable;
    case wire::State::DEAD:
        return peer_state::dead;
    case wire::State::LEAVING:
        return peer_state::leaving;
    default:
        return peer_state::suspect;
    }
}

} // namespace

capnp::Text::Reader to_text(const std::string& from)
{
    return {from.c_str(), from.size()};
}

std::string from_text(capnp::Text::Reader from)
{
    return {from.begin(), from.size()};
}

void write_digest(wire::Digest::Builder to, const peer_digest& from)
{
    to.setName(to_text(from.name));
    to.setDomain(to_text(from.domain));
    to.setIncarnation(from.incarnation);
    to.setPhase(static_cast<wire::Phase>(from.phase));
    to.setHeartbeat(from.heartbeat);
    to.setRevision(from.revision);
    to.setFreeSlots(from.free_slots);
    to.setQueuedTasks(from.queued_tasks);
    const auto grants =
        std::min(from.held_grants.size(), peer_digest::max_held_grants);
    auto held = to.initHeldGrants(static_cast<unsigned>(grants));
    for (unsigned i = 0; i < held.size(); ++i)
    {
        held.set(i, from.held_grants[i]);
    }
    const auto seen =
        std::min(from.observations.size(), peer_digest::max_observations);
    auto observations = to.initObservations(static_cast<unsigned>(seen));
    for (unsigned i = 0; i < observations.size(); ++i)
    {
        const peer_observation& observation = from.observations[i];
        observations[i].setName(to_text(observation.name));
        observations[i].setIncarnation(observation.incarnation);
        observations[i].setHeartbeat(observation.heartbeat);
        observations[i].setState(static_cast<wire::State>(observation.state));
        observations[i].setRevision(observation.revision);
    }
}

peer_digest read_digest(wire::Digest::Reader from)
{
    peer_digest digest;
    digest.name = from_text(from.getName());
    digest.domain = from_text(from.getDomain());
    digest.incarnation = from.getIncarnation();
    digest.phase = read_phase(from.getPhase());
    digest.heartbeat = from.getHeartbeat();
    digest.revision = from.getRevision();
    digest.free_slots = from.getFreeSlots();
    digest.queued_tasks = from.getQueuedTasks();
    digest.held_grants = read_ids(from.getHeldGrants());
    if (digest.held_grants.size() > peer_digest::max_held_grants)
    {
        digest.held_grants.resize(peer_digest::max_held_grants);
    }
    for (const auto observation : from.getObservations())
    {
        if (digest.observations.size() >= peer_digest::max_observations)
        {
            break;
        }
        digest.observations.push_back(
            {from_text(observation.getName()), observation.getIncarnation(),
             observation.getHeartbeat(), read_state(observation.getState()),
             observation.getRevision()});
    }
    return digest;
}

void write_grants(capnp::List<wire::Grant>::Builder to,
                  const std::vector<slot_grant>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to[i].setId(from[i].id);
        to[i].setServer(to_text(from[i].server));
        to[i].setSlots(from[i].slots);
    }
}

std::vector<slot_grant> read_grants(capnp::List<wire::Grant>::Reader from)
{
    std::vector<slot_grant> grants;
    for (unsigned i = 0; i < std::min(from.size(), max_list); ++i)
    {
        grants.push_back({from[i].getId(), from_text(from[i].getServer()),
                          from[i].getSlots()});
    }
    return grants;
}

void write_ids(capnp::List<std::uint64_t>::Builder to,
               const std::vector<std::uint64_t>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to.set(i, from[i]);
    }
}

std::vector<std::uint64_t> read_ids(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<std::uint64_t> ids;
    for (unsigned i = 0; i < std::min(from.size(), max_list); ++i)
    {
        ids.push_back(from[i]);
    }
    return ids;
}

void write_records(capnp::List<wire::Record>::Builder to,
                   const std::vector<stream_record>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to[i].setOffset(from[i].offset);
        to[i].setData(to_text(from[i].data));
    }
}

std::vector<stream_record> read_records(capnp::List<wire::Record>::Reader from)
{
    std::vector<stream_record> records;
    for (unsigned i = 0; i < std::min(from.size(), max_list); ++i)
    {
        records.push_back({from[i].getOffset(), from_text(from[i].getData())});
    }
    return records;
}

void write_failure(wire::Failure::Builder to, const peer_failure& from)
{
    to.setError(static_cast<std::uint16_t>(from.error));
    to.setMayHaveRun(from.delivery == peer_delivery::unknown);
    to.setText(to_text(from.text));
}

peer_failure read_failure(wire::Failure::Reader from)
{
    const bool overloaded =
        from.getError() == static_cast<std::uint16_t>(peer_error::overloaded);
    return {overloaded ? peer_error::overloaded : peer_error::refused,
            from.getMayHaveRun() ? peer_delivery::unknown
                                 : peer_delivery::not_sent,
            from_text(from.getText())};
}

} // namespace jujubedrum
