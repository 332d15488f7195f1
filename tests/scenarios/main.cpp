#include "common/standin_server.hpp"
#include "http_call.hpp"
#include "scenario.hpp"
#include "scenario_error.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <getopt.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

struct runner_options
{
    std::filesystem::path bin;
    std::filesystem::path scripts = JUJUBEDRUM_SOURCE_DIR "/tests/scenarios";
    std::filesystem::path golden = JUJUBEDRUM_SOURCE_DIR "/tests/golden";
    std::string selected_scenario;
    bool update_golden = false;
};

runner_options options;

std::filesystem::path work_root()
{
    return std::filesystem::temp_directory_path() /
           ("jujubedrum-scenario-" + std::to_string(::getpid()));
}

std::filesystem::path work_folder(const std::string& name)
{
    return work_root() / name;
}

bool run_script(scenario& run)
{
    std::string failure;
    try
    {
        run.run();
    }
    catch (const scenario_error& error)
    {
        failure = error.what() + ("\n" + run.log_tails());
    }
    BOOST_TEST(failure.empty(), failure);
    return failure.empty();
}

void run_scenario(const std::filesystem::path& script)
{
    const auto work = work_folder(script.stem());
    scenario run(options.bin, work, script);
    if (run_script(run))
    {
        std::filesystem::remove_all(work);
    }
}

void run_session(const std::filesystem::path& script)
{
    const auto work = work_folder(script.stem());
    scenario run(options.bin, work, script);
    run.record();
    if (!run_script(run))
    {
        return;
    }
    auto golden = script;
    golden.replace_extension(".golden");
    if (options.update_golden)
    {
        std::ofstream(golden) << run.transcript();
        return;
    }
    std::ifstream input(golden);
    std::ostringstream expected;
    expected << input.rdbuf();
    std::ofstream(work / "transcript") << run.transcript();
    const bool same = expected.str() == run.transcript();
    BOOST_TEST(same, "the session differs from " << golden.string() << "; see "
                                                 << work / "transcript");
    if (!same)
    {
        return;
    }
    std::filesystem::remove_all(work);
}

void add_scripts(const std::filesystem::path& folder, const char* extension,
                 void (*run)(const std::filesystem::path&))
{
    std::vector<std::filesystem::path> scripts;
    if (std::filesystem::is_directory(folder))
    {
        for (const auto& entry : std::filesystem::directory_iterator(folder))
        {
            const bool selected =
                options.selected_scenario.empty() ||
                entry.path().stem() == options.selected_scenario;
            if (entry.path().extension() == extension && selected)
            {
                scripts.push_back(entry.path());
            }
        }
    }
    std::sort(scripts.begin(), scripts.end());
    for (const auto& script : scripts)
    {
        boost::unit_test::framework::master_test_suite().add(
            boost::unit_test::make_test_case([run, script] { run(script); },
                                             script.stem().string(), __FILE__,
                                             __LINE__));
    }
}

bool parse_arguments(int argc, char** argv)
{
    static const option long_options[] = {
        {"bin", required_argument, nullptr, 'b'},
        {"scenario", required_argument, nullptr, 's'},
        {"scripts", required_argument, nullptr, 'd'},
        {"update-golden", no_argument, nullptr, 'u'},
        {nullptr, 0, nullptr, 0}};
    options.bin = std::filesystem::canonical("/proc/self/exe").parent_path();
    int code = 0;
    while ((code = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        switch (code)
        {
        case 'b':
            options.bin = std::filesystem::absolute(optarg);
            break;
        case 's':
            options.selected_scenario = optarg;
            break;
        case 'd':
            options.scripts = std::filesystem::absolute(optarg);
            break;
        case 'u':
            options.update_golden = true;
            break;
        default:
            return false;
        }
    }
    return true;
}

/// Makes one HTTP call before any other thread does. The HTTP library is not
/// built with the thread sanitizer, which does not see the guards of its static
/// constants and would report data races on their initialisation.
void initialise_http_client()
{
    standin_server server(1);
    const int port = server.bind("127.0.0.1", 0).value();
    std::thread thread([&server] { server.listen_after_bind(); });
    http_call({port, "GET", "/?a=b", "", "token"});
    server.close();
    thread.join();
}

bool add_tests()
{
    add_scripts(options.scripts, ".scenario", run_scenario);
    add_scripts(options.golden, ".session", run_session);
    return true;
}

} // namespace

} // namespace jujubedrum

int main(int argc, char** argv)
{
    if (!jujubedrum::parse_arguments(argc, argv))
    {
        std::cerr << "usage: scenario_runner [--bin DIR] [--scenario NAME]\n"
                     "  [--scripts DIR] [--update-golden] [-- Boost.Test "
                     "arguments]\n";
        return 2;
    }
    jujubedrum::initialise_http_client();
    // The runner's own options are not passed on to Boost.Test.
    std::vector<char*> rest = {argv[0]};
    rest.insert(rest.end(), argv + optind, argv + argc);
    rest.push_back(nullptr);
    const int result = boost::unit_test::unit_test_main(
        jujubedrum::add_tests, static_cast<int>(rest.size()) - 1, rest.data());
    // Removes the folder only if it is empty: those of failed scenarios are
    // kept for inspection.
    std::error_code ignored;
    std::filesystem::remove(jujubedrum::work_root(), ignored);
    return result;
}
