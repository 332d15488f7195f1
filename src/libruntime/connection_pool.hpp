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

/// Thread pool of the HTTP server. A connection occupies a thread until it is
/// closed. A thread is started only when none is idle, up to a maximum; further
/// connections wait for a free thread.
class connection_pool : public httplib::TaskQueue
{
public:
    /// \param max_threads maximum number of threads; at least 1.
    explicit connection_pool(std::size_t max_threads)
        : max_threads(max_threads)
    {
    }

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

private:
    void run();

    const std::size_t max_threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> pending;
    std::vector<std::thread> threads;
    std::size_t idle_threads = 0;
    bool closed = false;
};

} // namespace jujubedrum
