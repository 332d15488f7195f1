#include "waiting.hpp"

#include <thread>

namespace jujubedrum
{

bool wait_for(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + condition_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace jujubedrum
