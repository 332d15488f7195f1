// The two instances of a zone are cut off from each other and from the store.

#include "case_support.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace jujubedrum;
using namespace jujubedrum::review;

constexpr milliseconds time_limit{1500}; ///< of clients, as on the sheets
constexpr milliseconds cut_time{5500};   ///< as in the site file
constexpr milliseconds interval{40};
constexpr std::size_t rounds = 4;

std::string job_body()
{
    const nlohmann::json step{
        {"count", 4}, {"cpu", 6800}, {"memMb", 64}, {"estRuntimeMs", 300}};
    return nlohmann::json{
        {"taskSpec", "300 6800 -"}, {"bestEffort", true}, {"steps", {step}}}
        .dump();
}

/// Records the fence numbers that both instances use for the same pool.
void compare_fences(deployment& system, case_record& record)
{
    auto first = system.held_fences(*system.nodes()[0]);
    const auto second = system.held_fences(*system.nodes()[1]);
    for (const auto& [pool, fence] : second)
    {
        const auto at = first.find(pool);
        if (at != first.end())
        {
            record.line("both hold pool " + pool + ", with fence numbers " +
                        std::to_string(at->second) + " and " +
                        std::to_string(fence));
        }
    }
}

int play_all(const case_options& options, case_record& record)
{
    event_loop loop;
    deployment_options wanted;
    wanted.root = options.root;
    wanted.folder = options.scratch;
    wanted.zones = {"z1"};
    wanted.workers_per_zone = 8;
    wanted.kinds = {{"a", 16000}};
    wanted.guards = false;
    wanted.relays = true;
    deployment system(loop, wanted, record);
    if (!system.await_ready(milliseconds(15000)))
    {
        record.line("the instances did not become ready");
        return cannot_run;
    }
    system.run_for(milliseconds(3000));
    std::size_t starts = 0;
    record.check_start = [&](const seen_run& run)
    {
        ++starts;
        if (run.used_cpu > run.capacity_cpu)
        {
            record.violation("LIMIT: " + run.worker + " has " +
                             std::to_string(run.capacity_cpu) + " and runs " +
                             std::to_string(run.used_cpu) + " with " +
                             run.task);
        }
    };
    std::uint64_t number = 0x5c0e7a2300000001;
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
        system.call(*system.nodes()[sent++ % 2], "POST",
                    std::string(deployment::prefix) + job_id(number++),
                    job_body(), time_limit,
                    [&](const http_reply& reply) { ++statuses[reply.status]; });
    };
    send();
    for (std::size_t round = 0; round < rounds; ++round)
    {
        system.run_for(milliseconds(3000));
        if (options.trouble)
        {
            record.line("cut off both instances");
            for (const auto& instance : system.nodes())
            {
                deployment::cut(*instance);
            }
        }
        constexpr milliseconds look_after{5000};
        system.run_for(look_after);
        compare_fences(system, record);
        system.run_for(cut_time - look_after);
        if (options.trouble)
        {
            record.line("heal both instances");
            for (const auto& instance : system.nodes())
            {
                deployment::heal(*instance);
            }
        }
        system.run_for(milliseconds(8000));
    }
    sending = false;
    system.run_for(milliseconds(3000));
    record.check_start = nullptr;
    std::string summary = "starts " + std::to_string(starts) +
                          ", against LIMIT " +
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
