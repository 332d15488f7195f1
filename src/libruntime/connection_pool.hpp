#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace jujubedrum
{

/// Thread pool for connections, each of which occupies a thread until it is
/// closed. Starts a thread only when none is idle, up to a maximum; further
/// connections wait for a thread.
class connection_pool : public httplib::TaskQueue
{
public:
    /// \param most_threads at least 1.
    explicit connection_pool(std::size_t most_threads)
        : most(most_threads)
    {
    }

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

private:
    void run();

    const std::size_t most;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> waiting;
    std::vector<std::thread> threads;
    std::size_t idle = 0;
    bool closed = false;
};

} // namespace jujubedrum
