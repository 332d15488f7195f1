#include "engine/engine_report.hpp"

#include "jobs/issued_id.hpp"

#include <string_view>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

std::string_view to_string(peer_state state)
{
    switch (state)
    {
    case peer_state::alive:
        return "alive";
    case peer_state::suspect:
        return "suspect";
    case peer_state::unreachable:
        return "unreachable";
    case peer_state::dead:
        return "dead";
    case peer_state::leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace

engine_report::engine_report(const report_sources& sources)
    : from(sources)
{
}

std::string engine_report::status() const
{
    nlohmann::json peers = nlohmann::json::array();
    for (const peer_view& peer : this->from.members.peers())
    {
        peers.push_back({{"name", peer.info.name},
                         {"domain", peer.info.domain},
                         {"revision", peer.revision},
                         {"state", to_string(peer.state)}});
    }
    return nlohmann::json{
        {"instance", this->from.self.name},
        {"domain", this->from.self.domain},
        {"incarnation", incarnation_text(this->from.incarnation)},
        {"ready", this->from.ready},
        {"draining", this->from.draining},
        {"revision", this->from.config.revision()},
        {"peers", peers}}
        .dump();
}

std::string engine_report::dump(instant at) const
{
    using nlohmann::json;
    json servers = json::array();
    for (const auto& [name, server] : this->from.pool.servers())
    {
        servers.push_back({{"name", name},
                           {"domain", server.server.domain()},
                           {"usable", server.usable},
                           {"owned", server.owned},
                           {"lent", server.lent},
                           {"borrowed", server.borrowed},
                           {"busy", server.busy},
                           {"slowness", this->from.stats.slowness(name)}});
    }
    json teams = json::object();
    for (const auto& [name, quota] : this->from.quotas.teams())
    {
        teams[name] = {{"tasks_per_second", quota.rate()},
                       {"in_flight", quota.in_flight()},
                       {"in_flight_cap", quota.in_flight_cap()}};
    }
    json whole = json::parse(this->status());
    whole["time_us"] = at.count();
    whole["servers"] = servers;
    whole["teams"] = teams;
    whole["jobs"] = {{"running", this->from.jobs.running()},
                     {"queued_tasks", this->from.jobs.queued()},
                     {"tasks_in_flight", this->from.jobs.in_flight()},
                     {"answers", this->from.table.stored()},
                     {"tombstones", this->from.table.tombstones()},
                     {"bytes", this->from.table.bytes()}};
    whole["claims"] = {{"pending", this->from.claims.pending()},
                       {"known", this->from.claims.known()}};
    whole["grants"] = {{"lent", this->from.grants.lent_grants()},
                       {"held", this->from.grants.held_grants()}};
    whole["config"] = {{"revision", this->from.config.revision()},
                       {"next_offset", this->from.config.next_offset()},
                       {"refused_edits", this->from.config.refused()},
                       {"read_failures", this->from.config.read_failures()},
                       {"caught_up", this->from.config.caught_up()}};
    whole["peer_calls"] = this->from.peer_calls;
    return whole.dump();
}

} // namespace jujubedrum
