#pragma once

#include <condition_variable>
#include <string>

namespace jujubedrum
{

/// Waiting or running task of a backend server. It is owned by the thread that
/// handles its request and protected by the server's mutex.
struct task_entry
{
    enum class phase
    {
        waiting,
        running
    };

    std::string task;
    long long memory_mb = 0;
    phase state = phase::waiting;
    bool stopped = false;
    std::condition_variable changed;
};

} // namespace jujubedrum
