#include "monotonic_time.hpp"

#include <ctime>

namespace jujubedrum
{

instant monotonic_now()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<instant>(
        seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace jujubedrum
