#include "membership/peer_record.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

// A silence longer than this is an outage, not the usual pace of a slow peer.
constexpr double longest_usual_gap = 4e6;

// Weights of the newest sample, as for round-trip times in TCP.
constexpr double mean_share = 1.0 / 8;
constexpr double deviation_share = 1.0 / 4;

} // namespace

void peer_record::note_gap(microseconds gap)
{
    const double sample =
        std::clamp<double>(gap.count(), 0.0, longest_usual_gap);
    if (this->gap_mean == 0)
    {
        this->gap_mean = sample;
        this->gap_deviation = sample / 4;
        return;
    }
    const double error = sample - this->gap_mean;
    this->gap_mean += mean_share * error;
    this->gap_deviation +=
        deviation_share * (std::abs(error) - this->gap_deviation);
}

microseconds peer_record::usual_silence() const
{
    return microseconds(static_cast<microseconds::rep>(
        this->gap_mean + 4 * this->gap_deviation));
}

} // namespace jujubedrum
