#include "membership/peer_record.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

// A longer time without contact is an outage, not a pause of a slow peer.
constexpr double max_pause_us = 4e6;
constexpr double max_pause_allowance_us = 6e6;

// Gains of the moving averages, as for round-trip times in TCP.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;

// Decay of the estimate per contact without failures: after about a hundred
// heartbeats the peer is no longer treated as slow.
constexpr double pause_decay = 1.0 / 64;

} // namespace

void peer_record::record_pause(microseconds pause)
{
    const double sample = std::clamp<double>(pause.count(), 0.0, max_pause_us);
    if (this->pause_mean_us == 0)
    {
        this->pause_mean_us = sample;
        this->pause_deviation_us = sample / 4;
        return;
    }
    const double error = sample - this->pause_mean_us;
    this->pause_mean_us += mean_gain * error;
    this->pause_deviation_us +=
        deviation_gain * (std::abs(error) - this->pause_deviation_us);
}

void peer_record::record_timely_contact()
{
    this->pause_mean_us *= 1 - pause_decay;
    this->pause_deviation_us *= 1 - pause_decay;
}

microseconds peer_record::pause_allowance() const
{
    return microseconds(static_cast<microseconds::rep>(
        std::min(this->pause_mean_us + 4 * this->pause_deviation_us,
                 max_pause_allowance_us)));
}

} // namespace jujubedrum
