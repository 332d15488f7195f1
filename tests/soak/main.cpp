#include "soak_callers.hpp"
#include "soak_cluster.hpp"
#include "soak_faults.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <getopt.h>
#include <unistd.h>

namespace
{

using namespace jujubedrum;

/// Time for processes to start and find each other. Generous bounds; the
/// verdict does not depend on being faster.
constexpr milliseconds start_limit{30000};
constexpr milliseconds end_limit{60000};
constexpr std::uint64_t probes_wanted = 20;

struct run_plan
{
    std::string program;
    std::vector<std::uint64_t> seeds;
    milliseconds length{20000};
    std::uint32_t jobs_per_second = 60;
};

/// Returns a loopback address that no other soak on this machine uses.
std::string own_address()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + ((id >> 16U) & 0x7fU)) + "." +
           std::to_string((id >> 8U) & 0xffU) + "." +
           std::to_string(id & 0xffU);
}

/// Sends jobs until enough complete, so that the service has recovered.
bool recovers(event_loop& loop, soak_callers& callers, std::size_t nodes)
{
    constexpr milliseconds pause{300};
    std::size_t node = 0;
    instant next{0};
    return loop.run_until(
        [&]
        {
            if (event_loop::now() >= next)
            {
                next = event_loop::now() + pause;
                callers.probe(node++ % nodes);
            }
            return callers.probes_completed() >= probes_wanted;
        },
        end_limit);
}

std::vector<std::string> soak(const run_plan& plan, std::uint64_t seed,
                              const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream report(folder / "faults.txt");
    event_loop loop;
    random_source random(seed);
    soak_options options;
    options.program = plan.program;
    options.folder = folder;
    options.address = own_address();
    soak_cluster cluster(loop, options);
    soak_callers callers(loop, cluster, random, options.address,
                         plan.jobs_per_second);
    std::vector<std::string> faults;
    constexpr milliseconds forever{0x7fffffff};
    if (!recovers(loop, callers, options.nodes))
    {
        faults.emplace_back("did not start serving");
        return faults;
    }
    soak_faults disturber(loop, cluster, random, report);
    callers.begin();
    disturber.begin();
    const instant stop = event_loop::now() + plan.length;
    loop.run_until([stop] { return event_loop::now() >= stop; }, forever);
    disturber.end();
    cluster.heal();
    callers.end();
    if (!loop.run_until([&callers] { return callers.idle(); }, end_limit))
    {
        faults.emplace_back("a request was never answered");
    }
    const std::uint64_t before = callers.probes_completed();
    if (!loop.run_until([&] { return true; }, start_limit) ||
        !recovers(loop, callers, options.nodes) ||
        callers.probes_completed() < before)
    {
        faults.emplace_back("did not recover");
    }
    for (const auto* list :
         {&cluster.record().violations(), &callers.violations()})
    {
        faults.insert(faults.end(), list->begin(), list->end());
    }
    std::cout << "seed " << seed << ":";
    for (const auto& [outcome, count] : callers.outcomes())
    {
        std::cout << " " << outcome << "=" << count;
    }
    std::cout << " starts=" << cluster.record().total_starts() << "\n";
    return faults;
}

std::vector<std::uint64_t> parse_seeds(const std::string& text)
{
    std::vector<std::uint64_t> seeds;
    std::stringstream stream(text);
    std::string word;
    while (std::getline(stream, word, ','))
    {
        seeds.push_back(std::stoull(word));
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

void print_usage(std::ostream& out)
{
    out << "usage: node_soak --node PROGRAM [--seconds N] [--rate N]\n"
           "                 [--seeds A,B,...] [--seeds-file FILE]\n"
           "                 [--fresh COUNT]\n"
           "Runs instances as processes, injects faults from each seed and\n"
           "checks what callers and backend servers see. Exit status: 0 no\n"
           "promise was broken, 1 one was, 2 usage.\n";
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
                              {nullptr, 0, nullptr, 0}};
    for (int c = 0;
         (c = getopt_long(argc, argv, "n:t:r:s:f:x:", options, nullptr)) != -1;)
    {
        switch (c)
        {
        case 'n':
            plan.program = optarg;
            break;
        case 't':
            plan.length = std::chrono::seconds(std::stol(optarg));
            break;
        case 'r':
            plan.jobs_per_second =
                static_cast<std::uint32_t>(std::stoul(optarg));
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
    const auto base = std::filesystem::temp_directory_path() /
                      ("node-soak-" + std::to_string(::getpid()));
    int failed = 0;
    for (const std::uint64_t seed : plan.seeds)
    {
        const auto folder = base / std::to_string(seed);
        const auto faults = soak(plan, seed, folder);
        for (const std::string& fault : faults)
        {
            std::cout << "seed " << seed << " BROKEN: " << fault << "\n";
        }
        if (faults.empty())
        {
            std::filesystem::remove_all(folder);
            continue;
        }
        ++failed;
        std::cout << "seed " << seed << " logs: " << folder.string() << "\n";
    }
    std::cout << plan.seeds.size() - static_cast<std::size_t>(failed)
              << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
