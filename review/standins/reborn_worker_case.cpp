// Workers crash and start again under their ids, as another kind. With the
// variant "limit" they don't guard their capacity, and tasks need no label.

#include "case_support.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace
{

using namespace jujubedrum;
using namespace jujubedrum::review;

constexpr milliseconds time_limit{1500}; ///< of clients, as on the sheets
constexpr milliseconds down_time{4400};  ///< as in the site file
constexpr milliseconds interval{25};
/// Keeps all workers busy, so that tasks wait for the next free one.
constexpr milliseconds full_load_interval{40};
constexpr int full_load_tasks = 8; ///< of a job
constexpr milliseconds played{75000};

std::string job_body(int count, long run_ms, const std::string& label)
{
    nlohmann::json step{{"count", count},
                        {"cpu", 6800},
                        {"memMb", 64},
                        {"estRuntimeMs", run_ms}};
    if (!label.empty())
    {
        step["constraints"] = label;
    }
    return nlohmann::json{{"taskSpec", std::to_string(run_ms) + " 6800 " +
                                           (label.empty() ? "-" : label)},
                          {"bestEffort", true},
                          {"steps", {step}}}
        .dump();
}

int play_all(const case_options& options, case_record& record)
{
    const std::vector<worker_kind> kinds{{"a", 16000}, {"b", 24000}};
    event_loop loop;
    deployment_options wanted;
    wanted.root = options.root;
    wanted.folder = options.scratch;
    const bool limit = options.variant == "limit";
    wanted.kinds = kinds;
    wanted.guards = !limit;
    wanted.timeout_ms = time_limit.count();
    deployment system(loop, wanted, record);
    if (!system.await_ready(milliseconds(15000)))
    {
        record.line("the instances did not become ready");
        return cannot_run;
    }
    system.run_for(milliseconds(3000));
    std::size_t starts = 0;
    std::size_t uninformed = 0;
    record.check_start = [&](const seen_run& run)
    {
        ++starts;
        const bool wrong_kind =
            !run.need.label.empty() && run.labels.count(run.need.label) == 0;
        const bool too_much = limit && run.used_cpu > run.capacity_cpu;
        if (!wrong_kind && !too_much)
        {
            return;
        }
        if (!run.sender_knows_boot)
        {
            ++uninformed;
            record.line("not counted: the sender had no list of this boot");
            return;
        }
        if (too_much)
        {
            record.violation("LIMIT: " + run.worker + " has " +
                             std::to_string(run.capacity_cpu) + " and runs " +
                             std::to_string(run.used_cpu) + " with " +
                             run.task);
            return;
        }
        record.violation("ROUTE: " + run.task + " needs label " +
                         run.need.label + ", " + run.worker +
                         " is of another kind");
    };
    std::uint64_t number = 0x5c0e7a2200000001;
    std::map<int, std::size_t> statuses;
    const instant end = event_loop::now() + played;
    std::size_t node_index = 0;
    std::size_t kind_index = 0;
    std::function<void()> send = [&]
    {
        if (event_loop::now() >= end)
        {
            return;
        }
        loop.after(limit ? full_load_interval : interval, send);
        const std::string id = job_id(number++);
        auto& target = *system.nodes()[node_index++ % system.nodes().size()];
        system.call(
            target, "POST", std::string(deployment::prefix) + id,
            job_body(limit ? full_load_tasks : 2, 300,
                     limit ? "" : kinds[kind_index++ % kinds.size()].label),
            time_limit,
            [&](const http_reply& reply) { ++statuses[reply.status]; });
    };
    send();
    // Three of 24 workers at a time, one in each zone: a share of 0.125.
    for (std::size_t round = 0; event_loop::now() < end - milliseconds(8000);
         ++round)
    {
        system.run_for(milliseconds(2000));
        std::vector<worker_standin*> victims;
        for (const std::string& zone : wanted.zones)
        {
            std::vector<worker_standin*> local;
            for (const auto& worker : system.workers())
            {
                if (worker->domain() == zone)
                {
                    local.push_back(worker.get());
                }
            }
            const auto larger =
                std::find_if(local.begin(), local.end(),
                             [](const worker_standin* worker)
                             { return worker->kind().label == "b"; });
            victims.push_back(limit && larger != local.end()
                                  ? *larger
                                  : local[round % local.size()]);
        }
        if (!options.trouble)
        {
            system.run_for(down_time);
            continue;
        }
        for (worker_standin* victim : victims)
        {
            record.line("crash " + victim->id());
            victim->crash();
        }
        system.run_for(down_time);
        for (worker_standin* victim : victims)
        {
            const worker_kind& next =
                victim->kind().label == "a" ? kinds[1] : kinds[0];
            record.line("restart " + victim->id() + " as kind " + next.label);
            if (!victim->restart(next))
            {
                record.line("a worker could not listen again");
                return cannot_run;
            }
            system.write_entry(*victim);
        }
    }
    system.run_for(milliseconds(4000));
    record.check_start = nullptr;
    std::string summary = "starts " + std::to_string(starts) +
                          ", against the rule " +
                          std::to_string(record.violations()) +
                          ", not counted " + std::to_string(uninformed);
    for (const auto& [status, count] : statuses)
    {
        summary +=
            ", status " + std::to_string(status) + ": " + std::to_string(count);
    }
    record.line(summary);
    return record.violations() > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play_all);
}
