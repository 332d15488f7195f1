#include "limits/retry_budget.hpp"

#include <algorithm>

namespace jujubedrum
{

retry_budget::retry_budget(retry_settings settings)
    : settings(settings)
{
}

void retry_budget::on_first_start(instant now)
{
    this->advance(now);
    ++this->window[static_cast<std::size_t>(this->current) % bucket_count]
          .starts;
    ++this->starts;
}

bool retry_budget::try_spend(instant now)
{
    if (this->available(now) < 1)
    {
        return false;
    }
    ++this->window[static_cast<std::size_t>(this->current) % bucket_count]
          .spent;
    ++this->spent;
    return true;
}

std::optional<microseconds> retry_budget::delay(std::uint32_t attempt,
                                                instant now,
                                                std::optional<instant> deadline,
                                                random_source& random) const
{
    // `min_delay` times 2^10 exceeds any sensible `max_delay`.
    const std::uint32_t doublings = std::clamp<std::uint32_t>(attempt, 1, 10);
    const microseconds upper = std::min(
        this->settings.min_delay * (1U << doublings), this->settings.max_delay);
    const microseconds lower = std::max(this->settings.min_delay, upper / 2);
    const auto jitter = static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>((upper - lower).count()) + 1));
    const microseconds chosen = lower + microseconds(jitter);
    if (deadline && now + chosen >= *deadline)
    {
        return std::nullopt;
    }
    return chosen;
}

double retry_budget::available(instant now)
{
    this->advance(now);
    const double span =
        std::chrono::duration<double>(bucket_width * bucket_count).count();
    return this->settings.fraction * static_cast<double>(this->starts) +
           this->settings.min_per_second * span -
           static_cast<double>(this->spent);
}

void retry_budget::advance(instant now)
{
    const std::int64_t reached = now / bucket_width;
    const std::int64_t first =
        std::max(this->current + 1,
                 reached - static_cast<std::int64_t>(bucket_count) + 1);
    for (std::int64_t i = first; i <= reached; ++i)
    {
        bucket& expired =
            this->window[static_cast<std::size_t>(i) % bucket_count];
        this->starts -= expired.starts;
        this->spent -= expired.spent;
        expired = {};
    }
    this->current = std::max(this->current, reached);
}

} // namespace jujubedrum
