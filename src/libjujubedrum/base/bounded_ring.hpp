#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// Thread-safe bounded FIFO queue for several producers and consumers. The
/// capacity is fixed at construction: on a full ring `try_push` fails and
/// `push` blocks.
template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : slots(capacity)
    {
    }

    [[nodiscard]] std::size_t capacity() const { return this->slots.size(); }

    /// Returns the number of queued elements.
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(this->mutex);
        return this->count;
    }

    /// Appends an element, or returns false if the ring is full or closed.
    bool try_push(T value)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed || this->count == this->slots.size())
        {
            return false;
        }
        this->store(std::move(value));
        return true;
    }

    /// Appends an element, blocking while the ring is full. Returns false if it
    /// is or becomes closed.
    bool push(T value)
    {
        std::unique_lock lock(this->mutex);
        this->not_full.wait(
            lock, [this]
            { return this->closed || this->count < this->slots.size(); });
        if (this->closed)
        {
            return false;
        }
        this->store(std::move(value));
        return true;
    }

    /// Removes and returns the oldest element, blocking while the ring is
    /// empty. Returns nothing after the timeout or if the ring is closed and
    /// empty.
    std::optional<T> pop(std::chrono::microseconds timeout)
    {
        std::unique_lock lock(this->mutex);
        this->not_empty.wait_for(
            lock, timeout, [this] { return this->closed || this->count > 0; });
        if (this->count == 0)
        {
            return std::nullopt;
        }
        std::optional<T> value = std::move(this->slots[this->head]);
        this->slots[this->head].reset();
        this->head = (this->head + 1) % this->slots.size();
        --this->count;
        this->not_full.notify_one();
        return value;
    }

    /// Refuses further elements and wakes all blocked threads. Queued elements
    /// can still be removed.
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        this->not_empty.notify_all();
        this->not_full.notify_all();
    }

    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock(this->mutex);
        return this->closed;
    }

private:
    void store(T value)
    {
        const std::size_t tail =
            (this->head + this->count) % this->slots.size();
        this->slots[tail] = std::move(value);
        ++this->count;
        this->not_empty.notify_one();
    }

    mutable std::mutex mutex;
    std::condition_variable not_empty;
    std::condition_variable not_full;
    std::vector<std::optional<T>> slots;
    std::size_t head = 0;
    std::size_t count = 0;
    bool closed = false;
};

} // namespace jujubedrum
