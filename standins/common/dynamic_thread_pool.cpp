#include "common/dynamic_thread_pool.hpp"

#include <utility>

namespace jujubedrum
{

void dynamic_thread_pool::enqueue(std::function<void()> job)
{
    const std::lock_guard lock(this->mutex);
    this->jobs.push_back(std::move(job));
    if (this->idle_threads < this->jobs.size() &&
        this->threads.size() < this->max_threads)
    {
        this->threads.emplace_back([this] { this->run(); });
    }
    this->changed.notify_one();
}

void dynamic_thread_pool::shutdown()
{
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        this->changed.notify_all();
    }
    for (std::thread& thread : this->threads)
    {
        thread.join();
    }
}

void dynamic_thread_pool::run()
{
    std::unique_lock lock(this->mutex);
    while (true)
    {
        ++this->idle_threads;
        this->changed.wait(lock, [this]
                           { return this->closed || !this->jobs.empty(); });
        --this->idle_threads;
        if (this->jobs.empty())
        {
            return;
        }
        std::function<void()> job = std::move(this->jobs.front());
        this->jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace jujubedrum
