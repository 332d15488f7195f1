#include "dispatch/round_trip_estimator.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Weights of a sample are one eighth in the mean and one quarter in the
/// deviation (RFC 6298).
constexpr int mean_divisor = 8;
constexpr int deviation_divisor = 4;
constexpr int deviations_in_timeout = 4;

} // namespace

void round_trip_estimator::add(microseconds round_trip)
{
    if (!this->mean)
    {
        this->mean = round_trip;
        this->deviation = round_trip / 2;
        return;
    }
    const microseconds error = round_trip - *this->mean;
    this->deviation +=
        (std::chrono::abs(error) - this->deviation) / deviation_divisor;
    *this->mean += error / mean_divisor;
}

milliseconds round_trip_estimator::timeout(milliseconds min_timeout,
                                           milliseconds max_timeout) const
{
    if (!this->mean)
    {
        return min_timeout;
    }
    return std::clamp(
        std::chrono::ceil<milliseconds>(*this->mean + deviations_in_timeout *
                                                          this->deviation),
        min_timeout, max_timeout);
}

} // namespace jujubedrum
