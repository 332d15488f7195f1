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
    ++this->window[static_cast<std::size_t>(this->current) % buckets].starts;
    ++this->starts;
}

bool retry_budget::try_spend(instant now)
{
    if (this->available(now) < 1)
    {
        return false;
    }
    ++this->window[static_cast<std::size_t>(this->current) % buckets].spent;
    ++this->spent;
    return true;
}

std::optional<microseconds> retry_budget::delay(std::uint32_t attempt,
                                                instant now,
                                                std::optional<instant> deadline,
                                                random_source& random) const
{
    // 2^10 shortest delays exceed any sensible longest one.
    const std::uint32_t doublings = std::clamp<std::uint32_t>(attempt, 1, 10);
    const microseconds most =
        std::min(this->settings.shortest_delay * (1U << doublings),
                 this->settings.longest_delay);
    const microseconds least =
        std::max(this->settings.shortest_delay, most / 2);
    const auto jitter = static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>((most - least).count()) + 1));
    const microseconds chosen = least + microseconds(jitter);
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
        std::chrono::duration<double>(bucket_width * buckets).count();
    return this->settings.fraction * static_cast<double>(this->starts) +
           this->settings.minimum_per_second * span -
           static_cast<double>(this->spent);
}

void retry_budget::advance(instant now)
{
    const std::int64_t reached = now / bucket_width;
    const std::int64_t first = std::max(
        this->current + 1, reached - static_cast<std::int64_t>(buckets) + 1);
    for (std::int64_t i = first; i <= reached; ++i)
    {
        bucket& old = this->window[static_cast<std::size_t>(i) % buckets];
        this->starts -= old.starts;
        this->spent -= old.spent;
        old = {};
    }
    this->current = std::max(this->current, reached);
}

} // namespace jujubedrum
