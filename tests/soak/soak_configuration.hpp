#pragma once

#include "soak_cluster.hpp"

#include "node/http_client.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Publishes versions of the configuration while faults are injected, and
/// checks that no instance returns to an earlier one before it restarts.
class soak_configuration
{
public:
    soak_configuration(event_loop& loop, soak_cluster& cluster,
                       const std::string& address);

    /// Publishes a version now and at a fixed interval.
    void start();
    void stop() { this->publishing = false; }
    /// Publishes a further version.
    void publish();
    /// Returns whether all instances have the newest version in force, as far
    /// as they were asked.
    [[nodiscard]] bool in_force_everywhere() const;
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->violation_list;
    }

private:
    struct instance_state
    {
        std::shared_ptr<http_client> client;
        std::uint64_t boot = 0;
        std::uint64_t version = 0;
    };

    void publish_next();
    void ask(std::size_t node);
    void on_state(std::size_t node, const http_reply& reply);

    loop_scope loop;
    soak_cluster& cluster;
    std::vector<instance_state> states; ///< by index of the instance
    std::uint64_t newest = 1;
    bool publishing = false;
    std::vector<std::string> violation_list;
};

} // namespace jujubedrum
