#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubedrum
{

/// A started process. It is killed by its id when the object is destroyed.
class child_process
{
public:
    /// Starts a program. Its standard error goes to `log`, its standard output
    /// is read by `read_line`. Throws scenario_error if it cannot start.
    child_process(const std::vector<std::string>& arguments,
                  const std::filesystem::path& log);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Returns the next line of standard output, or nothing when it ends or
    /// after 30 s.
    std::optional<std::string> read_line();
    /// Sends a signal, if the process has not been waited for.
    void signal(int signal_number) const;
    /// Waits up to 30 s for the exit and returns the status as a shell would:
    /// 128 + signal for a killed process. Nothing if it still runs.
    std::optional<int> wait_exit();
    /// Returns whether the process still runs.
    bool running();

private:
    bool reap(bool block);

    pid_t pid = -1;
    int output = -1;
    std::string buffered;
    std::optional<int> status;
};

} // namespace jujubedrum
