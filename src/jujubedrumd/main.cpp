#include "daemon.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <getopt.h>

namespace
{

constexpr int usage_error = 1;
constexpr int settings_error = 2;

void print_usage(std::ostream& out)
{
    out << "usage: jujubedrumd --settings FILE [--check]\n"
           "  -s, --settings FILE  JSON settings of this entry instance\n"
           "  -c, --check          check the settings and exit\n"
           "  -h, --help           print this text\n"
           "exit status: 0 stopped gracefully or settings valid, 1 usage or\n"
           "cannot start, 2 invalid settings\n";
}

/// Blocks the signals that end the process before any thread starts, so that
/// only the waiting main thread receives them.
void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int run(const std::string& path, bool check_only)
{
    std::ifstream file(path);
    if (!file)
    {
        std::cerr << "jujubedrumd: cannot read " << path << "\n";
        return settings_error;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    jujubedrum::config_reason why;
    auto values = jujubedrum::settings::load(text, why);
    if (!values)
    {
        std::cerr << "jujubedrumd: " << path << ": " << why.message() << "\n";
        return settings_error;
    }
    if (check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    block_signals();
    jujubedrum::configure_logging(values->log_level());
    jujubedrum::daemon instance(std::move(*values));
    return instance.run();
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {{"settings", required_argument, nullptr, 's'},
                              {"check", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    bool check_only = false;
    for (int c = 0;
         (c = getopt_long(argc, argv, "s:ch", options, nullptr)) != -1;)
    {
        switch (c)
        {
        case 's':
            path = optarg;
            break;
        case 'c':
            check_only = true;
            break;
        case 'h':
            print_usage(std::cout);
            return 0;
        default:
            print_usage(std::cerr);
            return usage_error;
        }
    }
    if (path.empty() || optind != argc)
    {
        print_usage(std::cerr);
        return usage_error;
    }
    return run(path, check_only);
}
