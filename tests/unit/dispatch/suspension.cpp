#include "suspension.hpp"

#include <atomic>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace
{

std::atomic<long> suspended_s{0};

} // namespace

/// Replaces the function of the C library in the test program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_BOOTTIME)
    {
        time->tv_sec += suspended_s;
    }
    return static_cast<int>(result);
}

namespace jujubedrum
{

void simulate_suspension(seconds time)
{
    suspended_s += time.count();
}

} // namespace jujubedrum
