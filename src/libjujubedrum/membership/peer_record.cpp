#include "membership/peer_record.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

// A longer silence is an outage, not the usual pace of a slow peer.
constexpr double longest_pause = 4e6;
constexpr double longest_usual_silence = 6e6;

// Weights of the newest sample, as for round-trip times in TCP.
constexpr double mean_share = 1.0 / 8;
constexpr double deviation_share = 1.0 / 4;

// A peer that has been calm for about a hundred heartbeats is no longer slow.
constexpr double calm_share = 1.0 / 64;

} // namespace

void peer_record::note_pause(microseconds pause)
{
    const double sample = std::clamp<double>(pause.count(), 0.0, longest_pause);
    if (this->pause_mean == 0)
    {
        this->pause_mean = sample;
        this->pause_deviation = sample / 4;
        return;
    }
    const double error = sample - this->pause_mean;
    this->pause_mean += mean_share * error;
    this->pause_deviation +=
        deviation_share * (std::abs(error) - this->pause_deviation);
}

void peer_record::note_calm()
{
    this->pause_mean *= 1 - calm_share;
    this->pause_deviation *= 1 - calm_share;
}

microseconds peer_record::usual_silence() const
{
    return microseconds(static_cast<microseconds::rep>(std::min(
        this->pause_mean + 4 * this->pause_deviation, longest_usual_silence)));
}

} // namespace jujubedrum
