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

/// Thread pool that starts a thread only when no idle one is left, up to a
/// maximum. Each open connection occupies one thread.
class dynamic_thread_pool : public httplib::TaskQueue
{
public:
    explicit dynamic_thread_pool(std::size_t max_threads)
        : max_threads(max_threads)
    {
    }

    void enqueue(std::function<void()> job) override;
    void shutdown() override;

private:
    void run();

    const std::size_t max_threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> jobs;
    std::vector<std::thread> threads;
    std::size_t idle_threads = 0;
    bool closed = false;
};

} // namespace jujubedrum
