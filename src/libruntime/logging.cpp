#include "logging.hpp"

#include <atomic>
#include <chrono>
#include <mutex>

#include <fcntl.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace jujubedrum
{

namespace
{

/// Maximum number of log lines per second. An instance that serves 100 jobs a
/// second writes about 250; at 20 microseconds a line, 500 take 1 % of a core.
constexpr std::uint32_t max_lines_per_second = 500;

std::atomic<std::uint64_t> dropped{0};

/// Writes log lines to standard output, which must be non-blocking, within the
/// budget. Drops a line that cannot be written at once.
class nonblocking_sink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        const std::lock_guard lock(this->mutex);
        if (!this->budget.admit(second))
        {
            ++dropped;
            return;
        }
        std::string line = data->logMessage()->logger()->logBuilder()->build(
            data->logMessage(), true);
        if (dropped > this->reported)
        {
            line.insert(line.size() - 1,
                        " log_lines_dropped=" + std::to_string(dropped));
        }
        const ssize_t written =
            ::write(STDOUT_FILENO, line.data(), line.size());
        if (written < 0)
        {
            ++dropped;
            return;
        }
        this->reported = dropped;
    }

private:
    std::mutex mutex;
    log_budget budget{max_lines_per_second};
    std::uint64_t reported = 0;
};

} // namespace

void configure_logging(const std::string& level)
{
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const bool debug = level == "debug";
    const bool info = debug || level == "info";
    const bool warning = info || level == "warning";
    const auto enable = [&config](el::Level at, bool on)
    { config.set(at, el::ConfigurationType::Enabled, on ? "true" : "false"); };
    enable(el::Level::Debug, debug);
    enable(el::Level::Info, info);
    enable(el::Level::Warning, warning);
    el::Loggers::reconfigureAllLoggers(config);
}

void use_nonblocking_log()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags < 0 || ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
    {
        LOG(WARNING) << "log: cannot make standard output non-blocking; log "
                        "writes may block";
    }
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<nonblocking_sink>(
        "nonblocking_sink");
}

std::uint64_t dropped_log_lines()
{
    return dropped;
}

} // namespace jujubedrum
