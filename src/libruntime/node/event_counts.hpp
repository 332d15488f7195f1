#pragma once

#include "metrics_registry.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace jujubedrum
{

/// Counts events by name, for the `events_total` metric.
class event_counts
{
public:
    void add(const std::string& event) { ++this->counts[event]; }

    void write(metrics_registry& registry) const
    {
        for (const auto& [event, count] : this->counts)
        {
            registry.set_counter("events_total", "event=\"" + event + "\"",
                                 count);
        }
    }

private:
    std::map<std::string, std::uint64_t> counts;
};

} // namespace jujubedrum
