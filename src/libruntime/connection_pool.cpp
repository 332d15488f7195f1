#include "connection_pool.hpp"

#include <utility>

namespace jujubedrum
{

void connection_pool::enqueue(std::function<void()> connection)
{
    const std::lock_guard lock(this->mutex);
    this->pending.push_back(std::move(connection));
    // A thread that was notified but has not woken up yet still counts as
    // idle, so the idle threads are compared with all pending connections.
    if (this->idle_threads < this->pending.size() &&
        this->threads.size() < this->max_threads)
    {
        this->threads.emplace_back([this] { this->run(); });
    }
    this->changed.notify_one();
}

void connection_pool::shutdown()
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

void connection_pool::run()
{
    std::unique_lock lock(this->mutex);
    for (;;)
    {
        ++this->idle_threads;
        this->changed.wait(lock, [this]
                           { return this->closed || !this->pending.empty(); });
        --this->idle_threads;
        if (this->pending.empty())
        {
            return;
        }
        const std::function<void()> serve = std::move(this->pending.front());
        this->pending.pop_front();
        lock.unlock();
        serve();
        lock.lock();
    }
}

} // namespace jujubedrum
