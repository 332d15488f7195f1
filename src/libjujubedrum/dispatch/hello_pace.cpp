#include "dispatch/hello_pace.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Bounds of the time between two hellos, and what each peer adds to it.
struct pace_range
{
    milliseconds shortest;
    milliseconds longest;
    microseconds per_peer;
};

/// Callers wait for the jobs of a holder, and its load decides where jobs go.
constexpr pace_range holder_close{milliseconds(100), milliseconds(300),
                                  milliseconds(1)};
constexpr pace_range holder_far{milliseconds(100), milliseconds(1000),
                                milliseconds(10)};
/// 3.5 times the shortest is under the 1.3 s after which a caller's next
/// attempt could overlap a run that an instance that was lost left behind.
constexpr pace_range other_close{milliseconds(250), milliseconds(1000),
                                 microseconds(2500)};
constexpr pace_range other_far{milliseconds(250), milliseconds(2000),
                               milliseconds(50)};

/// Two hellos may be missing. Above the stalls of a machine whose share of a
/// core is used up (100 ms).
constexpr double lost_intervals = 3.5;
constexpr int doubt_intervals = 2;

} // namespace

milliseconds hello_pace::interval(const link_state& link)
{
    const pace_range& range = link.holds_pools
                                  ? (link.close ? holder_close : holder_far)
                                  : (link.close ? other_close : other_far);
    const auto wanted = std::chrono::duration_cast<milliseconds>(
        range.per_peer * static_cast<long>(link.peers));
    return std::clamp(wanted, range.shortest, range.longest);
}

milliseconds hello_pace::bounded(milliseconds promised)
{
    return promised.count() == 0
               ? other_close.shortest
               : std::clamp(promised, holder_close.shortest, other_far.longest);
}

milliseconds hello_pace::doubt_after(milliseconds interval)
{
    return interval * doubt_intervals;
}

milliseconds hello_pace::lost_after(milliseconds interval)
{
    return milliseconds(static_cast<long>(
        static_cast<double>(interval.count()) * lost_intervals));
}

} // namespace jujubedrum
