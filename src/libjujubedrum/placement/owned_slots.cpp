#include "placement/owned_slots.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace jujubedrum
{

namespace
{

/// Assumed remaining run time of a task that exceeded its expected run time, as
/// a share of the elapsed time.
constexpr double overdue_share = 0.5;

instant expected_end(instant started_at, microseconds expected, instant now)
{
    const instant end = started_at + expected;
    if (end > now)
    {
        return end;
    }
    const auto elapsed = static_cast<double>((now - started_at).count());
    return now +
           microseconds(static_cast<std::int64_t>(elapsed * overdue_share));
}

} // namespace

std::string_view owned_slots::name() const
{
    return "owned_slots";
}

void owned_slots::begin_round(instant /*now*/)
{
    this->slots_valid = false;
    this->late_count = 0;
}

void owned_slots::started(const slot_choice& choice, instant now)
{
    placement_policy::started(choice, now);
    this->running[choice.start_id] = {choice.server, now, choice.expected};
}

void owned_slots::finished(const slot_choice& choice, instant now)
{
    placement_policy::finished(choice, now);
    this->running.erase(choice.start_id);
    this->slots_valid = false;
}

void owned_slots::collect_slots(instant now)
{
    this->slots.clear();
    this->min_slowness = std::numeric_limits<double>::max();
    std::map<std::string_view, const pooled_server*> busy;
    for (const auto& [name, server] : this->pool.servers())
    {
        // In a large region most servers have no slots of this instance.
        if (server.owned + server.borrowed == 0)
        {
            continue;
        }
        const admission_state state = this->stats.admission(name, now);
        if (!server.usable || state == admission_state::ejected)
        {
            continue;
        }
        // Includes servers whose slots are all lent, so that tasks can be
        // counted as late even while no slot is left.
        this->min_slowness =
            std::min(this->min_slowness, this->stats.slowness(name));
        const bool probe = state == admission_state::probe;
        if (server.free() > 0)
        {
            this->slots.push_back({&server, this->stats.slowness(name), now,
                                   server.free(), probe});
        }
        // If more tasks run than the capacity allows, for example after slots
        // were lent, the end of a task does not free a slot.
        if (!probe && server.busy > 0 && server.busy <= server.capacity())
        {
            busy.emplace(name, &server);
        }
    }
    for (const auto& [start_id, task] : this->running)
    {
        const auto at = busy.find(task.server);
        if (at != busy.end())
        {
            this->slots.push_back(
                {at->second, this->stats.slowness(task.server),
                 expected_end(task.started_at, task.expected, now), 1, false});
        }
    }
    this->slots_valid = true;
    this->slots_collected_at = now;
}

bool owned_slots::is_eligible(const slot_group& slot, const task_demand& demand,
                              std::string_view exclude, instant now) const
{
    const backend_server& server = slot.server->server;
    if (slot.count == 0 || server.memory_mb() < demand.memory_mb ||
        server.name() == exclude || (slot.probe && !demand.repeatable))
    {
        return false;
    }
    // A second copy of a task (`exclude` is set) starts now or not at all.
    return slot.free_at > now ? exclude.empty() : slot.server->free() > 0;
}

owned_slots::slot_group* owned_slots::select(const task_demand& demand,
                                             std::string_view exclude,
                                             instant now)
{
    const auto reference = static_cast<double>(
        this->stats.reference(demand.kind, demand.declared).count());
    const double ideal =
        this->min_slowness *
        std::max(reference, static_cast<double>(demand.job_run_time.count()));
    const auto elapsed = static_cast<double>((now - demand.submitted).count());
    const double slack_end = ideal * this->tuning.slack_share - elapsed;
    slot_group* best = nullptr;
    slot_group* slack_slots = nullptr;
    double best_end = std::numeric_limits<double>::max();
    for (slot_group& slot : this->slots)
    {
        if (!this->is_eligible(slot, demand, exclude, now))
        {
            continue;
        }
        if (slot.probe)
        {
            return &slot;
        }
        const bool is_free = slot.free_at <= now;
        const double end = static_cast<double>((slot.free_at - now).count()) +
                           reference * slot.slowness;
        if (is_free && end < slack_end &&
            (slack_slots == nullptr || slot.slowness > slack_slots->slowness))
        {
            slack_slots = &slot;
        }
        const double weighted = is_free ? end : end / this->tuning.wait_share;
        if (weighted < best_end)
        {
            best = &slot;
            best_end = weighted;
        }
    }
    if (slack_slots != nullptr)
    {
        return slack_slots;
    }
    const bool waits = best == nullptr || best->free_at > now;
    const double end = elapsed + best_end * this->tuning.wait_share;
    if (waits && end > this->tuning.late_ratio * ideal)
    {
        ++this->late_count;
    }
    return best;
}

std::optional<slot_choice> owned_slots::pick(const task_demand& demand,
                                             std::string_view exclude,
                                             instant now)
{
    if (!this->slots_valid || now != this->slots_collected_at)
    {
        this->collect_slots(now);
    }
    slot_group* best = this->select(demand, exclude, now);
    if (best == nullptr)
    {
        return std::nullopt;
    }
    if (best->free_at <= now)
    {
        --best->count;
        const slot_choice choice =
            this->choose(*best->server, demand, best->probe);
        best->count = best->probe ? 0 : best->count;
        return choice;
    }
    // Reserves the slot for this task: later tasks of the pass see it as busy
    // until this one is expected to end.
    best->free_at += this->stats.expected_run_time(
        best->server->server.name(), demand.kind, demand.declared);
    return std::nullopt;
}

} // namespace jujubedrum
