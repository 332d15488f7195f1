#include "node/latency_histogram.hpp"

#include <algorithm>
#include <numeric>

namespace jujubedrum
{

void latency_histogram::add(milliseconds time)
{
    ++this->total;
    this->sum_ms += static_cast<std::uint64_t>(time.count());
    const auto at = std::lower_bound(upper_bounds.begin(), upper_bounds.end(),
                                     time.count());
    if (at != upper_bounds.end())
    {
        ++this->buckets.at(static_cast<std::size_t>(at - upper_bounds.begin()));
    }
}

std::uint64_t latency_histogram::cumulative_count(std::size_t position) const
{
    return std::accumulate(this->buckets.begin(),
                           this->buckets.begin() +
                               static_cast<std::ptrdiff_t>(position) + 1,
                           std::uint64_t{0});
}

void latency_histogram::write(metrics_registry& metrics,
                              const std::string& name) const
{
    for (std::size_t i = 0; i < upper_bounds.size(); ++i)
    {
        metrics.set_counter(name + "_bucket",
                            "le=\"" + std::to_string(upper_bounds.at(i)) + "\"",
                            this->cumulative_count(i));
    }
    metrics.set_counter(name + "_bucket", "le=\"+Inf\"", this->total);
    metrics.set_counter(name + "_count", "", this->total);
    metrics.set_counter(name + "_sum", "", this->sum_ms);
}

} // namespace jujubedrum
