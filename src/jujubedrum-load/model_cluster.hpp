#pragma once

#include "base/time.hpp"
#include "model_options.hpp"
#include "placement/backend_server.hpp"
#include "placement/entry_instance.hpp"

#include <cstddef>
#include <vector>

namespace jujubedrum
{

/// Simulated installation: backend servers and their speeds, entry instances,
/// and network delays.
class model_cluster
{
public:
    explicit model_cluster(const model_options& options);

    [[nodiscard]] const std::vector<backend_server>& servers() const
    {
        return this->descriptions;
    }
    [[nodiscard]] const std::vector<entry_instance>& entries() const
    {
        return this->instances;
    }
    /// Returns the factor by which tasks run longer than on a fastest server;
    /// at least 1.
    [[nodiscard]] double slowness(std::size_t server, instant now) const;
    /// Returns the work that all servers together do in a second, in seconds on
    /// a fastest server. Stragglers count with their usual speed.
    [[nodiscard]] double capacity() const;
    /// Returns the one-way network delay between two domains.
    [[nodiscard]] microseconds delay(const std::string& from,
                                     const std::string& to) const;

private:
    [[nodiscard]] bool is_straggling(std::size_t server, instant now) const;

    std::vector<backend_server> descriptions;
    std::vector<entry_instance> instances;
    std::vector<double> slowness_values;
    std::size_t stragglers;
    double straggle_factor;
    microseconds straggle_period;
    microseconds domain_delay;
};

} // namespace jujubedrum
