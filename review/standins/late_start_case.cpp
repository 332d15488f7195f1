// Workers leave starts unanswered and carry them out late, and some of them
// crash and start again meanwhile.

#include "case_support.hpp"

#include <map>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

namespace
{

using namespace jujubedrum;
using namespace jujubedrum::review;

constexpr milliseconds time_limit{20000}; ///< of clients
constexpr long task_ms = 6000;
constexpr milliseconds interval{33};
constexpr std::size_t rounds = 8;
constexpr std::size_t batches = 3;      ///< of crashes in a round
constexpr double late_share = 0.055;    ///< as in the site file
constexpr milliseconds late_time{5500}; ///< as in the site file
constexpr milliseconds down_time{1000}; ///< at most 4.5 s in the site file

std::string job_body()
{
    const nlohmann::json step{
        {"count", 14}, {"cpu", 100}, {"memMb", 64}, {"estRuntimeMs", task_ms}};
    return nlohmann::json{{"taskSpec", std::to_string(task_ms) + " 100 -"},
                          {"bestEffort", true},
                          {"steps", {step}}}
        .dump();
}

/// Crashes one worker of each zone, three of 24, and starts them again. Returns
/// false if one cannot start again.
bool crash_some(deployment& system, case_record& record, bool trouble,
                std::size_t number)
{
    std::map<std::string, std::vector<worker_standin*>> by_zone;
    for (const auto& worker : system.workers())
    {
        by_zone[worker->domain()].push_back(worker.get());
    }
    std::vector<worker_standin*> victims;
    for (const auto& [zone, workers] : by_zone)
    {
        victims.push_back(workers[number % workers.size()]);
    }
    for (worker_standin* victim : victims)
    {
        if (trouble)
        {
            record.line("crash " + victim->id());
            victim->crash();
        }
    }
    system.run_for(down_time);
    for (worker_standin* victim : victims)
    {
        if (!trouble)
        {
            continue;
        }
        record.line("restart " + victim->id());
        if (!victim->restart(victim->kind()))
        {
            record.line("a worker could not listen again");
            return false;
        }
        system.write_entry(*victim);
    }
    system.run_for(milliseconds(600));
    return true;
}

int play_all(const case_options& options, case_record& record)
{
    event_loop loop;
    deployment_options wanted;
    wanted.root = options.root;
    wanted.folder = options.scratch;
    wanted.timeout_ms = time_limit.count();
    deployment system(loop, wanted, record);
    if (!system.await_ready(milliseconds(15000)))
    {
        record.line("the instances did not become ready");
        return cannot_run;
    }
    system.run_for(milliseconds(3000));
    std::size_t starts = 0;
    std::map<std::string, std::set<std::string>> running;
    record.check_start = [&](const seen_run& run)
    {
        ++starts;
        std::set<std::string>& workers = running[run.task];
        if (!workers.empty())
        {
            record.violation("TWICE: " + run.task + " starts on " + run.worker +
                             " and runs on " + *workers.begin());
        }
        workers.insert(run.worker);
    };
    record.check_end = [&](const std::string& worker, const std::string& task,
                           const std::string&) { running[task].erase(worker); };
    std::uint64_t number = 0x5c0e7a2500000001;
    std::map<int, std::size_t> statuses;
    bool sending = true;
    std::size_t sent = 0;
    std::function<void()> send = [&]
    {
        if (!sending)
        {
            return;
        }
        loop.after(interval, send);
        system.call(*system.nodes()[sent++ % system.nodes().size()], "POST",
                    std::string(deployment::prefix) + job_id(number++),
                    job_body(), time_limit,
                    [&](const http_reply& reply) { ++statuses[reply.status]; });
    };
    send();
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (const auto& worker : system.workers())
        {
            worker->set_late_starts(options.trouble ? late_share : 0);
        }
        system.run_for(late_time);
        for (const auto& worker : system.workers())
        {
            worker->set_late_starts(0);
        }
        for (std::size_t batch = 0; batch < batches; ++batch)
        {
            if (!crash_some(system, record, options.trouble,
                            round * batches + batch))
            {
                return cannot_run;
            }
        }
        system.run_for(milliseconds(200));
    }
    sending = false;
    system.run_for(milliseconds(8000));
    record.check_start = nullptr;
    record.check_end = nullptr;
    std::string summary = "starts " + std::to_string(starts) +
                          ", against TWICE " +
                          std::to_string(record.violations());
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
