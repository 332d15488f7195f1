#pragma once

#include <condition_variable>
#include <string>

namespace jujubedrum
{

/// A task present at a backend server, owned by the thread that serves it and
/// protected by the server's mutex.
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
