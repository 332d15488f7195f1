#include "run_command.hpp"

#include "load_runner.hpp"
#include "metrics_snapshot.hpp"
#include "model_cluster.hpp"
#include "perfect_replay.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

constexpr const char* usage_text =
    "usage: jujubedrum-load run --entry ADDRESS:PORT ... --token T [options]\n"
    "  --team NAME               team of the jobs (the profile)\n"
    "  --profile rake|orders     arrivals (rake)\n"
    "  --rate X                  task arrivals in a second (from the load)\n"
    "  --load X                  share of the capacity used (0.7)\n"
    "  --tasks N --seed N        length and random seed (200000, 1)\n"
    "  --senders N               threads, one connection each (540)\n"
    "  --servers N --slots N     servers of the perfect replay (48, 8)\n"
    "  --stragglers N --straggle-factor X\n"
    "                            slow servers of the perfect replay (0, 5)\n"
    "  --fastest-speed X         speed of the fastest backend server (3)\n"
    "  --work-scale X            factor on every run time (1); the perfect\n"
    "                            replay is left out unless it is 1\n"
    "  --own-ids                 ids chosen by the caller\n"
    "  --json                    print JSON instead of a table\n";

json to_json(const latency_summary& summary)
{
    return {{"jobs", summary.count()},
            {"p50", summary.p50()},
            {"p99", summary.p99()},
            {"p99.9", summary.p999()}};
}

json quotients(const latency_summary& live, const latency_summary& perfect)
{
    const auto quotient = [](double a, double b)
    { return b > 0 ? a / b : 0.0; };
    return {{"p50", quotient(live.p50(), perfect.p50())},
            {"p99", quotient(live.p99(), perfect.p99())},
            {"p99.9", quotient(live.p999(), perfect.p999())}};
}

json messages_per_task(const metrics_snapshot& before,
                       const metrics_snapshot& after)
{
    json result = json::object();
    const double starts = std::max(1.0, after.starts_since(before));
    double total = 0.0;
    for (const auto& [cause, count] : after.wasted_messages_since(before))
    {
        result[cause] = count / starts;
        total += count / starts;
    }
    result["total"] = total;
    return result;
}

std::optional<arrival_schedule> make_schedule(const run_options& options,
                                              const model_cluster& cluster)
{
    auto schedule = arrival_schedule::make(options.model, cluster.capacity());
    if (!schedule || options.rate <= 0.0)
    {
        return schedule;
    }
    // The same seed gives the same jobs and the interarrival times are
    // inversely proportional to the load, so scaling the load by the quotient
    // of the rates gives the requested rate exactly.
    const double seconds =
        static_cast<double>(schedule->jobs().back().arrival_time.count()) / 1e6;
    const double rate = static_cast<double>(schedule->tasks()) / seconds;
    model_options scaled = options.model;
    scaled.load *= options.rate / rate;
    return arrival_schedule::make(scaled, cluster.capacity());
}

json measure(const run_options& options, const arrival_schedule& schedule,
             const model_cluster& cluster)
{
    const metrics_snapshot before = metrics_snapshot::scrape(options);
    load_runner runner(options, schedule);
    runner.run();
    const metrics_snapshot after = metrics_snapshot::scrape(options);
    json result = {{"tasks", schedule.tasks()},
                   {"elapsed_s", runner.elapsed().count()},
                   {"task_starts", after.starts_since(before)},
                   {"outcomes", runner.outcomes()},
                   {"all", to_json(runner.all())},
                   {"repeatable", to_json(runner.repeatable())},
                   {"messages_per_task", messages_per_task(before, after)}};
    if (options.work_scale == 1.0)
    {
        const model_result perfect =
            perfect_replay(cluster, schedule, true).run();
        result["perfect"] = to_json(perfect.all);
        result["over_perfect"] = quotients(runner.all(), perfect.all);
        result["repeatable_over_perfect"] =
            quotients(runner.repeatable(), perfect.repeatable);
    }
    return result;
}

void print_table(const json& result)
{
    for (const auto& [name, value] : result.items())
    {
        if (!value.is_object())
        {
            std::printf("%-24s %.1f\n", name.c_str(), value.get<double>());
            continue;
        }
        std::printf("%-24s", name.c_str());
        for (const auto& [key, number] : value.items())
        {
            std::printf(" %s=%.4g", key.c_str(), number.get<double>());
        }
        std::printf("\n");
    }
}

} // namespace

int run_run_command(int argc, char** argv)
{
    const auto options = run_options::parse(argc, argv);
    if (!options)
    {
        std::cerr << usage_text;
        return 2;
    }
    const model_cluster cluster(options->model);
    const auto schedule = make_schedule(*options, cluster);
    if (!schedule)
    {
        std::cerr << usage_text;
        return 2;
    }
    const json result = measure(*options, *schedule, cluster);
    if (options->model.json)
    {
        std::cout << result.dump(2) << "\n";
        return 0;
    }
    print_table(result);
    return 0;
}

} // namespace jujubedrum
