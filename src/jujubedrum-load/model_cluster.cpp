#include "model_cluster.hpp"

#include "base/random_source.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace jujubedrum
{

namespace
{

/// One-way delays between failure domains.
constexpr microseconds rake_delay{500};
constexpr microseconds orders_delay{1400};
/// One-way delay inside a failure domain.
constexpr microseconds local_delay{100};

backend_server make_server(std::size_t index, const model_options& options)
{
    placement_reason why;
    return *backend_server::make({"b" + std::to_string(100 + index),
                                  "d" + std::to_string(index % options.domains),
                                  "r1", "127.0.0.1", 8080, options.slots, 32768,
                                  server_state::live},
                                 why);
}

} // namespace

model_cluster::model_cluster(const model_options& options)
    : stragglers(std::min(options.stragglers, options.servers))
    , straggle_factor(options.straggle_factor)
    , straggle_period(options.straggle_period)
    , domain_delay(options.delay)
{
    if (this->domain_delay == microseconds(0))
    {
        this->domain_delay =
            options.profile == "rake" ? rake_delay : orders_delay;
    }
    for (std::size_t i = 0; i < options.servers; ++i)
    {
        this->descriptions.push_back(make_server(i, options));
        const double position =
            options.servers > 1 ? static_cast<double>(i) /
                                      static_cast<double>(options.servers - 1)
                                : 1.0;
        this->slowness_values.push_back(3.0 / (1.0 + 2.0 * position));
    }
    // Shuffled, so that speeds correlate with neither names nor domains.
    random_source random(options.seed + 1);
    for (std::size_t i = options.servers; i > 1; --i)
    {
        std::swap(this->slowness_values[i - 1],
                  this->slowness_values[random.below(i)]);
    }
    for (std::size_t i = 0; i < options.instances; ++i)
    {
        this->instances.push_back({"e" + std::to_string(10 + i),
                                   "d" + std::to_string(i % options.domains),
                                   "r1", 1.0});
    }
}

bool model_cluster::is_straggling(std::size_t server, instant now) const
{
    if (this->stragglers == 0)
    {
        return false;
    }
    const std::size_t size = this->descriptions.size();
    const std::size_t shift =
        this->straggle_period > microseconds(0)
            ? static_cast<std::size_t>(now / this->straggle_period)
            : 0;
    // Evenly spaced, so that the stragglers spread over all domains.
    const std::size_t shifted_index = (server + shift) % size;
    return (shifted_index + 1) * this->stragglers / size >
           shifted_index * this->stragglers / size;
}

double model_cluster::slowness(std::size_t server, instant now) const
{
    const double base_slowness = this->slowness_values[server];
    return this->is_straggling(server, now)
               ? base_slowness * this->straggle_factor
               : base_slowness;
}

double model_cluster::capacity() const
{
    double total = 0.0;
    for (std::size_t i = 0; i < this->descriptions.size(); ++i)
    {
        total += this->descriptions[i].slots() / this->slowness_values[i];
    }
    return total;
}

microseconds model_cluster::delay(const std::string& from,
                                  const std::string& to) const
{
    return from == to ? local_delay : this->domain_delay;
}

} // namespace jujubedrum
