#pragma once

#include "metrics_registry.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Compares successive state dumps of an engine, logs changes of peers, backend
/// servers and refused edits, and sets the gauges. Not thread-safe.
class engine_monitor
{
public:
    explicit engine_monitor(metrics_registry& registry)
        : metrics(registry)
    {
    }

    /// Processes a state dump; ignores any other text, such as an error body.
    void observe(const std::string& dump);

private:
    void log_peers(const nlohmann::json& peers);
    void log_servers(const nlohmann::json& servers);
    void log_refused_edits(std::uint64_t refused);
    void set_gauges(const nlohmann::json& dump);

    metrics_registry& metrics;
    std::map<std::string, std::string> peer_states;
    std::map<std::string, bool> usable_servers;
    std::set<std::string> known_states;
    std::uint64_t refused_edits = 0;
};

} // namespace jujubedrum
