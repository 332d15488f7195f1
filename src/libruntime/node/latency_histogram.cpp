#include "node/latency_histogram.hpp"

#include <algorithm>
#include <numeric>

namespace jujubedrum
{

void latency_histogram::add(milliseconds time)
{
    ++this->total;
    this->sum_ms += static_cast<std::uint64_t>(time.count());
    const auto at =
        std::lower_bound(limits.begin(), limits.end(), time.count());
    if (at != limits.end())
    {
        ++this->buckets.at(static_cast<std::size_t>(at - limits.begin()));
    }
}

std::uint64_t latency_histogram::up_to(std::size_t position) const
{
    return std::accumulate(this->buckets.begin(),
                           this->buckets.begin() +
                               static_cast<std::ptrdiff_t>(position) + 1,
                           std::uint64_t{0});
}

void latency_histogram::write(metrics_registry& metrics,
                              const std::string& name) const
{
    for (std::size_t i = 0; i < limits.size(); ++i)
    {
        metrics.set_counter(name + "_bucket",
                            "le=\"" + std::to_string(limits.at(i)) + "\"",
                            this->up_to(i));
    }
    metrics.set_counter(name + "_bucket", "le=\"+Inf\"", this->total);
    metrics.set_counter(name + "_count", "", this->total);
    metrics.set_counter(name + "_sum", "", this->sum_ms);
}

} // namespace jujubedrum
