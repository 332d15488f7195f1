#include "dispatch/dispatch_load.hpp"

namespace jujubedrum
{

milliseconds dispatch_load::estimated_wait(std::uint64_t cpu) const
{
    const std::uint64_t wanted = this->waiting_cpu + cpu;
    if (wanted <= this->free_cpu)
    {
        return milliseconds(0);
    }
    if (this->total_cpu == 0)
    {
        return unknown_wait;
    }
    // Capacity becomes free at the rate of the total per mean run time.
    const double lacking = static_cast<double>(wanted - this->free_cpu);
    return milliseconds(static_cast<long>(
        lacking * this->mean_run_ms / static_cast<double>(this->total_cpu)));
}

} // namespace jujubedrum
