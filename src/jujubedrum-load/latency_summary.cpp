#include "latency_summary.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujubedrum
{

namespace
{

double percentile(const std::vector<double>& sorted, double share)
{
    const double rank = share * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(rank))];
}

} // namespace

latency_summary::latency_summary(std::vector<double> ratios)
    : jobs(ratios.size())
{
    if (ratios.empty())
    {
        return;
    }
    std::sort(ratios.begin(), ratios.end());
    this->average = std::accumulate(ratios.begin(), ratios.end(), 0.0) /
                    static_cast<double>(ratios.size());
    this->median = percentile(ratios, 0.5);
    this->percentile99 = percentile(ratios, 0.99);
    this->percentile999 = percentile(ratios, 0.999);
}

} // namespace jujubedrum
