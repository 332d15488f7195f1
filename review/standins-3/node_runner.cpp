#include "node_runner.hpp"

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujubedrum
{

node_runner::node_runner(std::string program, std::string settings,
                         std::string log)
    : node(std::move(program))
    , settings_file(std::move(settings))
    , log_file(std::move(log))
{
}

node_runner::~node_runner()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
}

void node_runner::start()
{
    constexpr mode_t log_mode = 0644;
    constexpr unsigned first_inherited = 3;
    constexpr int cannot_start = 127;
    std::array<char*, 2> arguments{this->node.data(), nullptr};
    std::string variable = "JUJUBEDRUM_NODE_FILE=" + this->settings_file;
    std::array<char*, 2> environment{variable.data(), nullptr};
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid < 0)
    {
        throw std::runtime_error("cannot start " + this->node);
    }
    if (this->pid == 0)
    {
        const int log = ::open(this->log_file.c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, log_mode);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::close_range(first_inherited, ~0U, 0);
        // Ends with its parent, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() == parent)
        {
            ::execve(this->node.c_str(), arguments.data(), environment.data());
        }
        ::_exit(cannot_start);
    }
}

void node_runner::signal(int number) const
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

bool node_runner::running()
{
    if (this->pid <= 0)
    {
        return false;
    }
    if (::waitpid(this->pid, &this->status, WNOHANG) != this->pid)
    {
        return true;
    }
    this->pid = -1;
    return false;
}

} // namespace jujubedrum
