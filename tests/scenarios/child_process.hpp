#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubedrum
{

/// A child process. The destructor kills it by its id if it still runs.
class child_process
{
public:
    /// Starts the program `arguments[0]`. Its standard error is appended to
    /// `log`, its standard output is read by `read_line`. Throws
    /// scenario_error if a file cannot be opened or the fork fails; a program
    /// that cannot be executed exits with status 127.
    child_process(const std::vector<std::string>& arguments,
                  const std::filesystem::path& log);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Returns the next line of standard output without its line break, or
    /// nothing at the end of the output or after `condition_timeout` (30 s).
    std::optional<std::string> read_line();
    /// Sends a signal unless the exit status has already been collected.
    void signal(int signal_number) const;
    /// Waits up to `condition_timeout` (30 s) for the exit. Returns the exit
    /// status, 128 + signal for a process killed by a signal as in a shell, or
    /// nothing if it still runs.
    std::optional<int> wait_exit();
    /// Returns whether the process still runs.
    bool running();

private:
    /// Collects the exit status, waiting for the exit if `block` is set.
    /// Returns whether the process has exited.
    bool reap(bool block);

    pid_t pid = -1;
    int output = -1;
    std::string buffered;
    std::optional<int> status;
};

} // namespace jujubedrum
