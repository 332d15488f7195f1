#include "waiting.hpp"

#include <thread>

namespace jujubedrum
{

bool wait_for(const std::function<bool()>& condition)
{
    const auto until = std::chrono::steady_clock::now() + wait_bound;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > until)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace jujubedrum
