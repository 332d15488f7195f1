#include "dispatch/heartbeat_timing.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Bounds of the heartbeat interval, and how much each peer adds to it.
struct interval_range
{
    milliseconds min_interval;
    milliseconds max_interval;
    microseconds per_peer;
};

/// Heartbeats of a holder are more frequent: callers wait for its jobs, and its
/// load decides where jobs are sent.
constexpr interval_range holder_prioritized{milliseconds(100),
                                            milliseconds(300), milliseconds(1)};
constexpr interval_range holder_regular{milliseconds(100), milliseconds(1000),
                                        milliseconds(10)};
constexpr interval_range other_prioritized{
    milliseconds(250), milliseconds(1000), microseconds(2500)};
constexpr interval_range other_regular{milliseconds(250), milliseconds(2000),
                                       milliseconds(50)};

/// Bound of the interval on links with open jobs, at any number of peers. A
/// caller whose attempt failed tries again after 1.3 s, and a run left behind
/// by a dead accepting instance has to be stopped by then: 3.5 intervals, up to
/// 100 ms until the next check of the links, two stop requests of 65 ms and
/// 50 ms for the stop are 1.16 s.
constexpr milliseconds max_open_job_interval{250};

/// Two heartbeats may be missing. The time is above the stalls of a machine
/// whose share of a core is used up (100 ms).
constexpr double dead_intervals = 3.5;
constexpr int suspect_intervals = 2;

} // namespace

milliseconds heartbeat_timing::interval(const link_state& link)
{
    const bool prioritized = link.prioritized || link.has_open_jobs;
    const interval_range& range =
        link.holds_pools ? (prioritized ? holder_prioritized : holder_regular)
                         : (prioritized ? other_prioritized : other_regular);
    const auto wanted = std::chrono::duration_cast<milliseconds>(
        range.per_peer * static_cast<long>(link.peers));
    const milliseconds max_interval =
        link.has_open_jobs ? std::min(range.max_interval, max_open_job_interval)
                           : range.max_interval;
    return std::clamp(wanted, range.min_interval, max_interval);
}

milliseconds heartbeat_timing::clamp_interval(milliseconds announced)
{
    return announced.count() == 0
               ? other_prioritized.min_interval
               : std::clamp(announced, holder_prioritized.min_interval,
                            other_regular.max_interval);
}

milliseconds heartbeat_timing::suspect_timeout(milliseconds interval)
{
    return interval * suspect_intervals;
}

milliseconds heartbeat_timing::dead_timeout(milliseconds interval)
{
    return milliseconds(static_cast<long>(
        static_cast<double>(interval.count()) * dead_intervals));
}

} // namespace jujubedrum
