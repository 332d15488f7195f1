#include "engine_monitor.hpp"

#include "logging.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

double number_at(const json& dump, const char* pointer)
{
    const json::json_pointer at(pointer);
    return dump.contains(at) && dump[at].is_number() ? dump[at].get<double>()
                                                     : 0.0;
}

double free_slots(const json& servers)
{
    double free = 0;
    for (const json& server : servers)
    {
        if (server.value("usable", false))
        {
            free += std::max(0.0, number_at(server, "/owned") -
                                      number_at(server, "/lent") +
                                      number_at(server, "/borrowed") -
                                      number_at(server, "/busy"));
        }
    }
    return free;
}

} // namespace

void engine_monitor::observe(const std::string& text)
{
    const json dump = json::parse(text, nullptr, false);
    if (!dump.is_object() || !dump.contains("peers"))
    {
        return;
    }
    this->log_peers(dump["peers"]);
    this->log_servers(dump.value("servers", json::array()));
    this->log_refused_edits(
        static_cast<std::uint64_t>(number_at(dump, "/config/refused_edits")));
    this->set_gauges(dump);
}

void engine_monitor::log_peers(const json& peers)
{
    std::map<std::string, std::string> states;
    for (const json& peer : peers)
    {
        const std::string name = peer.value("name", "");
        const std::string state = peer.value("state", "");
        const auto previous = this->peer_states.find(name);
        if (previous == this->peer_states.end() || previous->second != state)
        {
            LOG(INFO) << "members: peer state; peer=" << name
                      << " state=" << state << " before="
                      << (previous == this->peer_states.end()
                              ? "unknown"
                              : previous->second);
        }
        states[name] = state;
    }
    for (const auto& [name, state] : this->peer_states)
    {
        if (!states.contains(name))
        {
            LOG(INFO) << "members: peer removed; peer=" << name
                      << " before=" << state;
        }
    }
    this->peer_states = std::move(states);
}

void engine_monitor::log_servers(const json& servers)
{
    std::map<std::string, bool> usable;
    for (const json& server : servers)
    {
        const std::string name = server.value("name", "");
        const bool now_usable = server.value("usable", false);
        const auto previous = this->usable_servers.find(name);
        if (previous != this->usable_servers.end() &&
            previous->second != now_usable)
        {
            LOG(INFO) << "backend: server "
                      << (now_usable ? "returned" : "gets no new work")
                      << "; server=" << name;
        }
        usable[name] = now_usable;
    }
    this->usable_servers = std::move(usable);
}

void engine_monitor::log_refused_edits(std::uint64_t refused)
{
    if (refused > this->refused_edits)
    {
        LOG(WARNING) << "config: edits refused; count="
                     << refused - this->refused_edits << " total=" << refused;
    }
    this->refused_edits = refused;
}

void engine_monitor::set_gauges(const json& dump)
{
    this->metrics.set_gauge("running_jobs", number_at(dump, "/jobs/running"));
    this->metrics.set_gauge("queued_tasks",
                            number_at(dump, "/jobs/queued_tasks"));
    this->metrics.set_gauge("tasks_in_flight",
                            number_at(dump, "/jobs/tasks_in_flight"));
    this->metrics.set_gauge("claims_pending",
                            number_at(dump, "/claims/pending"));
    this->metrics.set_gauge("revision", number_at(dump, "/revision"));
    this->metrics.set_gauge("ready", dump.value("ready", false) ? 1 : 0);
    this->metrics.set_gauge("free_slots",
                            free_slots(dump.value("servers", json::array())));
    std::map<std::string, double> counts;
    for (const auto& [name, state] : this->peer_states)
    {
        ++counts[state];
        this->known_states.insert(state);
    }
    for (const std::string& state : this->known_states)
    {
        this->metrics.set_gauge("peers", "state=\"" + state + "\"",
                                counts[state]);
    }
}

} // namespace jujubedrum
