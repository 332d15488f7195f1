#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jujubedrum
{

/// What an overload costs callers, counted by route, priority and reason: jobs
/// that were refused, displaced or late. A holder does not know the route and
/// leaves it empty. Made for twice the usual demand, with a few routes and
/// reasons; further ones are counted together.
class overload_counts
{
public:
    /// Reasons and routes are not bounded by this program alone.
    static constexpr std::size_t max_keys = 200;

    struct key
    {
        std::string outcome; ///< "refused", "displaced" or "late"
        std::string route;
        std::uint32_t priority = 0;
        std::string reason; ///< in words

        auto operator<=>(const key&) const = default;
    };
    struct entry
    {
        std::uint64_t count = 0;
        std::uint64_t reported = 0; ///< of them, in earlier reports
        /// Sum of the free capacity at those moments, in thousandths of a core.
        std::uint64_t free_cpu = 0;
        std::uint64_t reported_free_cpu = 0;
    };

    void add(const key& counted, std::uint64_t free_cpu);
    /// Returns the fields of a log line on what was counted since the last
    /// report, the largest counts first; empty if nothing was.
    [[nodiscard]] std::string report();
    [[nodiscard]] const std::map<key, entry>& totals() const
    {
        return this->entries;
    }
    /// Returns the metric labels of a key.
    [[nodiscard]] static std::string labels(const key& counted);

private:
    std::map<key, entry> entries;
};

} // namespace jujubedrum
