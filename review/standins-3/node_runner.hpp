#pragma once

#include <string>

#include <sys/types.h>

namespace jujubedrum
{

/// A process of `jujubedrum-node`. It inherits no descriptors, so that a
/// connection that the parent closes ends at once. It is killed with its
/// runner.
class node_runner
{
public:
    node_runner(std::string program, std::string settings, std::string log);
    ~node_runner();
    node_runner(const node_runner&) = delete;
    node_runner& operator=(const node_runner&) = delete;

    void start();
    void signal(int number) const;
    /// Returns whether the process runs; collects its exit status otherwise.
    [[nodiscard]] bool running();
    /// Returns the wait status of the last process that ended.
    [[nodiscard]] int last_status() const { return this->status; }

private:
    std::string node;
    std::string settings_file;
    std::string log_file;
    pid_t pid = -1;
    int status = 0;
};

} // namespace jujubedrum
