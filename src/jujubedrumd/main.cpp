#include "daemon.hpp"
#include "daemon_options.hpp"

#include <csignal>
#include <iostream>
#include <string>

namespace
{

constexpr const char* usage =
    "usage: jujubedrumd --settings FILE [--check]\n"
    "  -s, --settings FILE  JSON settings of this entry instance\n"
    "  -c, --check          check the settings and exit\n"
    "  -h, --help           print this text\n"
    "exit status: 0 stopped gracefully or settings valid, 1 usage or\n"
    "cannot start, 2 invalid settings\n";

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

int run(const jujubedrum::daemon_options& options)
{
    const std::string& path = options.settings_path();
    const auto text = jujubedrum::read_file(path);
    if (!text)
    {
        std::cerr << "jujubedrumd: cannot read " << path << "\n";
        return jujubedrum::exit_settings;
    }
    jujubedrum::config_reason why;
    auto values = jujubedrum::settings::load(*text, why);
    if (!values)
    {
        std::cerr << "jujubedrumd: " << path << ": " << why.message() << "\n";
        return jujubedrum::exit_settings;
    }
    if (options.check_only())
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
    int status = 0;
    const auto options =
        jujubedrum::daemon_options::parse(argc, argv, usage, "", status);
    return options ? run(*options) : status;
}
