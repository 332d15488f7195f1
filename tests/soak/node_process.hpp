#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubedrum
{

/// A program that was started here; it is killed by its id in the end.
class node_process
{
public:
    /// \param log file that gets its output, appended.
    node_process(std::string program, std::string settings, std::string log);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    void start();
    void signal(int number) const;
    /// Returns whether it runs; collects its exit status if not.
    bool running();
    /// Returns the status of the last exit: 128 + signal if killed.
    [[nodiscard]] int exit_status() const { return this->status; }

private:
    std::string program;
    std::string settings;
    std::string log;
    pid_t pid = -1;
    int status = 0;
};

} // namespace jujubedrum
