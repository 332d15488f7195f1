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

/// Thread pool that adds a thread when more jobs are queued than threads are
/// idle, up to a maximum. A job serves one connection until it is closed, so
/// the maximum bounds the connections served at once.
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
