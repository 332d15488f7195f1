#include "dispatch/trust_review.hpp"

#include <algorithm>
#include <vector>

namespace jujubedrum
{

namespace
{

/// With fewer servers a median says nothing about the others.
constexpr std::size_t min_servers = 4;

double median(std::vector<double> values)
{
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void trust_review::run(held_servers& servers, std::uint64_t waiting_cpu,
                       instant now)
{
    if (servers.size() >= min_servers)
    {
        set_typical(servers);
    }
    lift_least_bad(servers, waiting_cpu, now);
}

void trust_review::set_typical(held_servers& servers)
{
    std::vector<double> failed;
    std::vector<double> fast;
    for (const auto& [id, server] : servers)
    {
        failed.push_back(server.record.trust().failure_rate());
        fast.push_back(server.record.trust().fast_rate());
    }
    const double typical_failed = median(std::move(failed));
    const double typical_fast = median(std::move(fast));
    for (auto& [id, server] : servers)
    {
        server.record.trust().set_typical(typical_failed, typical_fast);
    }
}

void trust_review::lift_least_bad(held_servers& servers,
                                  std::uint64_t waiting_cpu, instant now)
{
    std::uint64_t capacity = 0;
    std::uint64_t load = waiting_cpu;
    std::vector<server_record*> liftable;
    for (auto& [id, server] : servers)
    {
        server_record& record = server.record;
        load += record.reserved_cpu();
        if (record.in_service(now))
        {
            capacity += record.info().capacity.cpu;
        }
        else if (record.is_available(now) && record.trust().may_lift(now))
        {
            liftable.push_back(&record);
        }
    }
    std::sort(liftable.begin(), liftable.end(),
              [](const server_record* a, const server_record* b) {
                  return a->trust().failure_rate() < b->trust().failure_rate();
              });
    for (server_record* record : liftable)
    {
        if (load <= capacity)
        {
            return;
        }
        record->trust().lift(now);
        capacity += record->info().capacity.cpu;
    }
}

} // namespace jujubedrum
