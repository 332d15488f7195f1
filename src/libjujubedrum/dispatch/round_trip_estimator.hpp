#pragma once

#include "base/time.hpp"

#include <optional>

namespace jujubedrum
{

/// Estimates how long replies of one server take, as TCP does for its
/// retransmissions (RFC 6298): a mean and a mean deviation, from which follows
/// the time after which a missing reply is no longer merely late.
class round_trip_estimator
{
public:
    /// \param round_trip from a request until its reply, also a late one.
    void add(microseconds round_trip);
    /// Returns the mean plus four mean deviations, within the bounds; the lower
    /// bound before the first sample.
    [[nodiscard]] milliseconds timeout(milliseconds min_timeout,
                                       milliseconds max_timeout) const;

private:
    std::optional<microseconds> mean;
    microseconds deviation{0};
};

} // namespace jujubedrum
