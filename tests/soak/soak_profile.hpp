#pragma once

namespace jujubedrum
{

/// Mix of faults and jobs of a soak run. A seed plays the same draws as long as
/// its profile is not changed, so new kinds of faults go into a new profile or
/// the latest one.
enum class soak_profile
{
    standard, ///< short tasks; faults of one part at a time, drawn one by one
    overlap,  ///< faults that last and overlap, and tasks that outlast them
};

} // namespace jujubedrum
