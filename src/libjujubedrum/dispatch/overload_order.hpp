#pragma once

#include "dispatch/pooled_job.hpp"
#include "dispatch/service_shares.hpp"

#include <compare>
#include <cstdint>

namespace jujubedrum
{

/// Position of a job among the waiting ones; the lowest gets capacity first.
struct queue_rank
{
    std::uint32_t level = 0;
    std::uint32_t group = 0; ///< within the level
    instant latest_start{0};
    std::uint64_t sequence = 0;

    auto operator<=>(const queue_rank&) const = default;
};

/// Decides which waiting jobs get capacity first, and so which are delayed or
/// refused when it is short.
class overload_order
{
public:
    virtual ~overload_order() = default;
    [[nodiscard]] virtual queue_rank rank_of(const pooled_job& job,
                                             instant now) const = 0;
};

/// Orders jobs by the latest start that meets the objective. Made for jobs that
/// are all equally important.
class latest_start_order : public overload_order
{
public:
    [[nodiscard]] queue_rank rank_of(const pooled_job& job,
                                     instant now) const override;
};

/// Orders jobs by what their loss costs callers: the highest priority first,
/// then jobs that have begun and classes that are starved, then the others by
/// priority. Within these, sizes that are starved go first. Made for jobs of
/// different priorities at more than the capacity of the servers.
class caller_cost_order : public overload_order
{
public:
    /// \param shares what the classes got recently; has to outlive the order.
    /// \param highest the highest priority in use: the lowest number.
    caller_cost_order(const service_shares& shares, std::uint32_t highest);

    [[nodiscard]] queue_rank rank_of(const pooled_job& job,
                                     instant now) const override;

private:
    const service_shares& shares;
    std::uint32_t highest;
};

} // namespace jujubedrum
