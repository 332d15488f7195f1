#include "soak_callers.hpp"
#include "soak_cluster.hpp"
#include "soak_configuration.hpp"
#include "soak_faults.hpp"
#include "soak_profile.hpp"
#include "users/free_port.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <getopt.h>
#include <unistd.h>

namespace
{

using namespace jujubedrum;

// Upper bound on waiting, long enough for processes to start and find each
// other. It is no performance target.
constexpr milliseconds completion_timeout{60000};
constexpr std::uint64_t min_completed_probes = 20;

struct run_plan
{
    std::string program;
    std::vector<std::uint64_t> seeds;
    milliseconds duration{20000};
    std::optional<microseconds> job_interval; ///< empty: by profile
    soak_profile profile = soak_profile::standard;
};

/// Returns the default time between two jobs. In the overlap profile, long
/// tasks take most of the servers' capacity. The standard profile sends a job
/// in each tick of the event loop, as its seeds always did.
microseconds default_interval(soak_profile profile)
{
    return profile == soak_profile::standard ? microseconds(0)
                                             : milliseconds(40);
}

/// Sends probe jobs to the instances in turn until `min_completed_probes` of
/// them have completed since the call. Returns false if this takes longer than
/// `completion_timeout`. Probes of an earlier call that are still open would
/// count as well, so there must be none.
bool wait_until_serving(event_loop& loop, soak_callers& callers,
                        std::size_t nodes)
{
    constexpr milliseconds probe_interval{300};
    const std::uint64_t required =
        callers.probes_completed() + min_completed_probes;
    std::size_t node = 0;
    instant next{0};
    return loop.run_until(
        [&]
        {
            if (event_loop::now() >= next)
            {
                next = event_loop::now() + probe_interval;
                callers.probe(node++ % nodes);
            }
            return callers.probes_completed() >= required;
        },
        completion_timeout);
}

std::vector<std::string> run_soak(const run_plan& plan, std::uint64_t seed,
                                  const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream report(folder / "faults.txt");
    std::ofstream runs(folder / "runs.txt");
    event_loop loop;
    random_source random(seed);
    cluster_options options;
    options.program = plan.program;
    options.folder = folder;
    options.address = unique_loopback_address();
    options.profile = plan.profile;
    soak_cluster cluster(loop, options);
    cluster.recorder().trace_to(runs);
    soak_callers callers(
        loop, cluster, random, options.address, plan.profile,
        plan.job_interval.value_or(default_interval(plan.profile)));
    std::vector<std::string> violations;
    constexpr milliseconds forever{0x7fffffff};
    if (!wait_until_serving(loop, callers, options.nodes))
    {
        violations.emplace_back(
            "after their start, instances did not complete the required "
            "probe jobs in time");
        return violations;
    }
    soak_faults injector(loop, cluster, random, plan.profile, report);
    soak_configuration configuration(loop, cluster, options.address);
    configuration.start();
    callers.start();
    injector.start();
    const instant end_time = event_loop::now() + plan.duration;
    loop.run_until([end_time] { return event_loop::now() >= end_time; },
                   forever);
    injector.stop();
    configuration.stop();
    cluster.heal();
    configuration.publish();
    const instant published_at = event_loop::now();
    callers.stop();
    if (!loop.run_until([&configuration]
                        { return configuration.in_force_everywhere(); },
                        completion_timeout))
    {
        violations.emplace_back("after the end of all faults, an instance did "
                                "not put the newest configuration in force");
    }
    const microseconds config_delay = event_loop::now() - published_at;
    if (!loop.run_until([&callers] { return callers.idle(); },
                        completion_timeout))
    {
        violations.emplace_back(
            "at least one job of a caller had no final reply when the "
            "wait timed out");
    }
    else if (!wait_until_serving(loop, callers, options.nodes))
    {
        violations.emplace_back(
            "after the end of all faults, instances did not complete "
            "the required probe jobs in time");
    }
    for (const auto* list :
         {&cluster.recorder().violations(), &callers.violations(),
          &configuration.violations()})
    {
        violations.insert(violations.end(), list->begin(), list->end());
    }
    std::cout << "seed " << seed << ":";
    for (const auto& [outcome, count] : callers.outcomes())
    {
        std::cout << " " << outcome << "=" << count;
    }
    std::cout << " starts=" << cluster.recorder().total_starts()
              << " config_ms="
              << std::chrono::duration_cast<milliseconds>(config_delay).count()
              << "\n";
    return violations;
}

std::vector<std::uint64_t> parse_seeds(const std::string& text)
{
    std::vector<std::uint64_t> seeds;
    std::stringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
    {
        seeds.push_back(std::stoull(item));
    }
    return seeds;
}

std::vector<std::uint64_t> read_seeds(const std::string& path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
    {
        if (!line.empty() && line[0] != '#')
        {
            seeds.push_back(std::stoull(line));
        }
    }
    return seeds;
}

/// Returns false if there is no profile of this name.
bool parse_profile(const std::string& name, soak_profile& profile)
{
    if (name != "standard" && name != "overlap")
    {
        return false;
    }
    profile =
        name == "overlap" ? soak_profile::overlap : soak_profile::standard;
    return true;
}

void print_usage(std::ostream& out)
{
    out << "usage: node_soak --node PROGRAM [--seconds N] [--rate N]\n"
           "                 [--seeds A,B,...] [--seeds-file FILE]\n"
           "                 [--fresh COUNT] [--profile standard|overlap]\n"
           "Runs instances as child processes, injects faults drawn from each\n"
           "seed and checks replies to callers and runs on backend servers.\n"
           "Exit status: 0 no violation, 1 violation found, 2 usage error.\n";
}

} // namespace

int main(int argc, char** argv)
{
    run_plan plan;
    const option options[] = {{"node", required_argument, nullptr, 'n'},
                              {"seconds", required_argument, nullptr, 't'},
                              {"rate", required_argument, nullptr, 'r'},
                              {"seeds", required_argument, nullptr, 's'},
                              {"seeds-file", required_argument, nullptr, 'f'},
                              {"fresh", required_argument, nullptr, 'x'},
                              {"profile", required_argument, nullptr, 'p'},
                              {nullptr, 0, nullptr, 0}};
    for (int c = 0; (c = getopt_long(argc, argv, "n:t:r:s:f:x:p:", options,
                                     nullptr)) != -1;)
    {
        switch (c)
        {
        case 'n':
            plan.program = optarg;
            break;
        case 't':
            plan.duration = std::chrono::seconds(std::stol(optarg));
            break;
        case 'r':
            plan.job_interval =
                microseconds(std::chrono::seconds(1)) / std::stol(optarg);
            break;
        case 's':
            plan.seeds = parse_seeds(optarg);
            break;
        case 'f':
            plan.seeds = read_seeds(optarg);
            break;
        case 'x':
            for (int i = 0; i < std::stoi(optarg); ++i)
            {
                plan.seeds.push_back(std::random_device()());
            }
            break;
        case 'p':
            if (!parse_profile(optarg, plan.profile))
            {
                print_usage(std::cerr);
                return 2;
            }
            break;
        default:
            print_usage(std::cerr);
            return 2;
        }
    }
    if (plan.program.empty())
    {
        print_usage(std::cerr);
        return 2;
    }
    const auto logs_folder = std::filesystem::temp_directory_path() /
                             ("node-soak-" + std::to_string(::getpid()));
    int failed_seeds = 0;
    for (const std::uint64_t seed : plan.seeds)
    {
        const auto folder = logs_folder / std::to_string(seed);
        const auto violations = run_soak(plan, seed, folder);
        for (const std::string& violation : violations)
        {
            std::cout << "seed " << seed << " BROKEN: " << violation << "\n";
        }
        if (violations.empty())
        {
            std::filesystem::remove_all(folder);
            continue;
        }
        ++failed_seeds;
        std::cout << "seed " << seed << " logs: " << folder.string() << "\n";
    }
    std::cout << plan.seeds.size() - static_cast<std::size_t>(failed_seeds)
              << " passed, " << failed_seeds << " failed\n";
    return failed_seeds == 0 ? 0 : 1;
}
