#include "dispatch/holder_choice.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Added to the wait at a holder of another failure domain.
constexpr milliseconds cross_domain_penalty{15};
/// A holder whose free capacity after the job is below this share of its total
/// is nearly full. Ten routers with loads 0.2 s old send it several jobs before
/// they learn of each other's.
constexpr double reserve_share = 0.05;
/// Used and waiting share of the capacity of the own failure domain from which
/// some jobs go to others. The share that goes grows with half the excess: if
/// all went at once, the domains would fill and empty in turn.
constexpr double full_share = 0.9;
/// Waits that differ by less are equal: a load is that inaccurate.
constexpr milliseconds equal_wait{10};
/// A load shows the jobs that were sent this long before it arrived: holders
/// measure it every 100 ms.
constexpr milliseconds load_lag{50};
/// A load that arrived this long after a job was sent includes the job.
constexpr milliseconds max_load_lag{100};
/// A job is not recalled because of the free capacity in an older load: three
/// heartbeat intervals on a link with open jobs.
constexpr milliseconds recent_load{300};
/// Share of the objective in which a job is not recalled. The estimate on
/// arrival was that it starts in time, and the holder refuses it itself at this
/// time if it then expects it to be late.
constexpr double min_wait_share = 0.2;

/// A job is recalled if it would be late when it takes this much longer than
/// estimated: declared run times are wrong by a factor of about e^0.4. The
/// holder refuses it without this factor, later.
constexpr double estimate_error = 1.5;

/// Returns the demand that is served before a job of this priority.
std::uint64_t waiting_ahead(const dispatch_load& load, std::uint32_t priority)
{
    if (load.waiting_by_priority.empty())
    {
        return load.waiting_cpu;
    }
    std::uint64_t cpu = 0;
    for (const auto& [other, waiting] : load.waiting_by_priority)
    {
        cpu += other <= priority ? waiting : 0;
    }
    return cpu;
}

/// Returns the share of the capacity in use by failure domain.
std::map<std::string, double> mean_uses(const std::vector<holder_view>& holders)
{
    std::map<std::string, double> total;
    std::map<std::string, double> used;
    for (const holder_view& holder : holders)
    {
        const dispatch_load& load = holder.load;
        total[holder.domain] += static_cast<double>(load.total_cpu);
        used[holder.domain] += static_cast<double>(
            load.total_cpu - std::min(load.total_cpu, load.free_cpu));
    }
    for (auto& [domain, use] : used)
    {
        use /= std::max(1.0, total[domain]);
    }
    return used;
}

/// Returns the share of the runs in the load that have not ended since.
double trust_in(const holder_view& holder)
{
    return std::exp(-static_cast<double>(holder.load_age.count()) /
                    std::max(1.0, holder.load.mean_run_ms));
}

/// Returns whether the wait costs less than another failure domain.
bool is_short(milliseconds wait)
{
    return wait <= cross_domain_penalty;
}

/// Returns the load with the free capacity that is expected now: runs have
/// ended since at the rate of the mean run time, and others have begun.
dispatch_load aged(const holder_view& holder, double mean_use)
{
    dispatch_load load = holder.load;
    const double trust = trust_in(holder);
    const auto total = static_cast<double>(load.total_cpu);
    load.free_cpu =
        static_cast<std::uint64_t>(trust * static_cast<double>(load.free_cpu) +
                                   (1 - trust) * (1 - mean_use) * total);
    return load;
}

} // namespace

holder_request holder_request::create(const pooled_job& job)
{
    holder_request result;
    for (const job_step& step : job.request.steps)
    {
        result.cpu += static_cast<std::uint64_t>(step.count) * step.demand.cpu;
        result.largest_cpu = std::max(result.largest_cpu, step.demand.cpu);
    }
    result.priority = job.terms.priority;
    result.objective = job.objective();
    result.run_time = job.critical_path();
    result.waited = job.terms.waited;
    result.time_left = job.terms.time_left;
    return result;
}

holder_choice::holder_choice(std::string own_domain, std::uint64_t seed,
                             holder_policy used)
    : domain(std::move(own_domain))
    , random(seed)
    , policy(used)
{
}

void holder_choice::on_sent(std::uint64_t link, const holder_request& request,
                            instant now)
{
    if (link != 0)
    {
        this->sent[link].push_back({now, now + request.run_time, request.cpu});
    }
}

void holder_choice::on_load(std::uint64_t link, instant now)
{
    const auto at = this->sent.find(link);
    if (at == this->sent.end())
    {
        return;
    }
    std::deque<sent_job>& jobs = at->second;
    while (!jobs.empty() && jobs.front().at <= now - load_lag)
    {
        jobs.pop_front();
    }
    if (jobs.empty())
    {
        this->sent.erase(at);
    }
}

void holder_choice::on_link_closed(std::uint64_t link)
{
    this->sent.erase(link);
}

std::uint64_t holder_choice::sent_cpu(std::uint64_t link, instant now) const
{
    const auto at = this->sent.find(link);
    std::uint64_t cpu = 0;
    if (at != this->sent.end())
    {
        for (const sent_job& job : at->second)
        {
            cpu += now < job.ends ? job.cpu : 0;
        }
    }
    return cpu;
}

holder_choice::candidate holder_choice::estimate(const holder_view& holder,
                                                 const holder_request& request,
                                                 double mean_use,
                                                 instant now) const
{
    dispatch_load load = aged(holder, mean_use);
    load.waiting_cpu = waiting_ahead(holder.load, request.priority) +
                       this->sent_cpu(holder.link, now);
    candidate result;
    result.link = holder.link;
    result.own_domain = holder.domain == this->domain;
    result.trust = trust_in(holder);
    result.total_cpu = static_cast<double>(load.total_cpu);
    result.demand_cpu = static_cast<double>(
        load.total_cpu - std::min(load.total_cpu, holder.load.free_cpu) +
        holder.load.waiting_cpu);
    result.wait = load.estimated_wait(request.cpu);
    const std::uint64_t free =
        load.free_cpu - std::min(load.free_cpu, load.waiting_cpu);
    // 0 is sent by earlier versions and where nothing is free.
    const bool largest_fits = load.largest_free_cpu == 0 ||
                              request.largest_cpu <= load.largest_free_cpu;
    result.room = free >= request.cpu && free > 0 && largest_fits;
    const auto reserve = static_cast<std::uint64_t>(
        reserve_share * static_cast<double>(load.total_cpu));
    result.ample = result.room &&
                   (free >= request.cpu + reserve || free == load.total_cpu);
    result.weight = result.room ? free : load.total_cpu;
    return result;
}

double holder_choice::own_share(const std::vector<candidate>& all,
                                const holder_request& request)
{
    double total = 0;
    double demand = 0;
    double trust = 0;
    bool room = false;
    bool short_wait = false;
    for (const candidate& entry : all)
    {
        if (entry.own_domain)
        {
            total += entry.total_cpu;
            demand += entry.demand_cpu;
            trust = std::max(trust, entry.trust);
            room = room || entry.room;
            short_wait = short_wait || is_short(entry.wait);
        }
    }
    const double share = demand <= full_share * total
                             ? 1
                             : std::sqrt(full_share * total / demand);
    if (room)
    {
        return share;
    }
    const double job_share = static_cast<double>(request.cpu) / total;
    return short_wait && job_share < reserve_share ? share * (1 - trust) : 0;
}

holder_decision holder_choice::pick(const std::vector<candidate>& candidates)
{
    std::uint64_t sum = 0;
    for (const candidate& entry : candidates)
    {
        sum += entry.weight;
    }
    std::uint64_t remaining = this->random.below(sum);
    for (const candidate& entry : candidates)
    {
        if (remaining < entry.weight)
        {
            return {entry.link, entry.wait, no_holder_reason::none};
        }
        remaining -= entry.weight;
    }
    return {candidates.back().link, candidates.back().wait,
            no_holder_reason::none};
}

holder_decision holder_choice::choose_shortest_wait(
    const std::vector<holder_view>& holders, const holder_request& request,
    const std::set<std::string>& tried, std::size_t refusals, instant now) const
{
    if (refusals >= max_holders_tried)
    {
        return {std::nullopt, milliseconds(0), no_holder_reason::all_busy};
    }
    holder_decision best{std::nullopt, milliseconds::max(),
                         no_holder_reason::no_holder};
    for (const holder_view& holder : holders)
    {
        if (holder.load.total_cpu == 0 || tried.count(holder.name) > 0)
        {
            continue;
        }
        dispatch_load load = holder.load;
        load.waiting_cpu += this->sent_cpu(holder.link, now);
        const milliseconds wait =
            load.estimated_wait(request.cpu) + (holder.domain == this->domain
                                                    ? milliseconds(0)
                                                    : cross_domain_penalty);
        if (!best.link || wait < best.expected_wait)
        {
            best = {holder.link, wait, no_holder_reason::none};
        }
    }
    return best;
}

holder_decision holder_choice::choose(const std::vector<holder_view>& holders,
                                      const holder_request& request,
                                      const std::set<std::string>& tried,
                                      std::size_t refusals, instant now)
{
    if (this->policy == holder_policy::shortest_wait)
    {
        return this->choose_shortest_wait(holders, request, tried, refusals,
                                          now);
    }
    if (refusals > 0 && request.time_left < request.run_time)
    {
        return {std::nullopt, milliseconds(0), no_holder_reason::out_of_time};
    }
    const std::map<std::string, double> uses = mean_uses(holders);
    std::vector<candidate> all;
    for (const holder_view& holder : holders)
    {
        if (holder.load.total_cpu > 0 && tried.count(holder.name) == 0)
        {
            all.push_back(
                this->estimate(holder, request, uses.at(holder.domain), now));
        }
    }
    if (all.empty())
    {
        return {std::nullopt, milliseconds(0), no_holder_reason::no_holder};
    }
    std::vector<candidate> chosen;
    const auto select = [&all, &chosen](const auto& condition)
    {
        chosen.clear();
        std::copy_if(all.begin(), all.end(), std::back_inserter(chosen),
                     condition);
        return !chosen.empty();
    };
    const auto foreign = [](const candidate& entry)
    { return entry.ample && !entry.own_domain; };
    const bool stays = this->random.unit() < this->own_share(all, request);
    if ((!stays && select(foreign)) ||
        select([](const candidate& entry)
               { return entry.ample && entry.own_domain; }) ||
        select([](const candidate& entry)
               { return entry.room && entry.own_domain; }) ||
        (stays && select([](const candidate& entry)
                         { return entry.own_domain && is_short(entry.wait); })))
    {
        return this->pick(chosen);
    }
    if (select(foreign) ||
        select([](const candidate& entry) { return entry.room; }))
    {
        return this->pick(chosen);
    }
    if (refusals >= max_holders_tried)
    {
        return {std::nullopt, milliseconds(0), no_holder_reason::all_busy};
    }
    milliseconds shortest = milliseconds::max();
    for (candidate& entry : all)
    {
        entry.wait += entry.own_domain ? milliseconds(0) : cross_domain_penalty;
        shortest = std::min(shortest, entry.wait);
    }
    select([shortest](const candidate& entry)
           { return entry.wait < shortest + equal_wait; });
    return this->pick(chosen);
}

bool holder_choice::should_recall(const std::vector<holder_view>& holders,
                                  std::uint64_t current,
                                  const holder_request& request,
                                  const std::set<std::string>& tried,
                                  instant now) const
{
    const double waited_share =
        static_cast<double>(request.waited.count()) /
        static_cast<double>(std::max<long>(1, request.objective.count()));
    if (this->policy == holder_policy::shortest_wait ||
        waited_share < min_wait_share || request.time_left < request.run_time)
    {
        return false;
    }
    const auto holder = std::find_if(holders.begin(), holders.end(),
                                     [current](const holder_view& entry)
                                     { return entry.link == current; });
    if (holder == holders.end() ||
        holder->load_age + max_load_lag > request.since_sent)
    {
        return false;
    }
    // The demand of the job itself is part of what waits there. If less waits,
    // or there is room for all of it, the job has started.
    const std::uint64_t ahead = waiting_ahead(holder->load, request.priority);
    if (ahead < request.cpu || holder->load.free_cpu >= request.cpu)
    {
        return false;
    }
    dispatch_load load = holder->load;
    load.waiting_cpu = ahead - request.cpu;
    const milliseconds wait = load.estimated_wait(request.cpu);
    const double remaining_ms =
        estimate_error * static_cast<double>((wait + request.run_time).count());
    const auto objective_left = request.objective - request.waited;
    if (remaining_ms <= static_cast<double>(objective_left.count()))
    {
        return false;
    }
    const std::map<std::string, double> uses = mean_uses(holders);
    return std::any_of(
        holders.begin(), holders.end(),
        [&](const holder_view& other)
        {
            return other.link != current && other.load.total_cpu > 0 &&
                   other.load_age <= recent_load &&
                   tried.count(other.name) == 0 &&
                   this->estimate(other, request, uses.at(other.domain), now)
                       .ample;
        });
}

} // namespace jujubedrum
