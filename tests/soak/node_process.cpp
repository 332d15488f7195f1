#include "node_process.hpp"

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujubedrum
{

node_process::node_process(std::string path, std::string settings_file,
                           std::string log_file)
    : program(std::move(path))
    , settings(std::move(settings_file))
    , log(std::move(log_file))
{
}

node_process::~node_process()
{
    if (this->pid > 0)
    {
        this->signal(SIGKILL);
        int ignored = 0;
        ::waitpid(this->pid, &ignored, 0);
    }
}

void node_process::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t log_file_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     log_file_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string option = "--settings";
    std::array<char*, 4> arguments{this->program.data(), option.data(),
                                   this->settings.data(), nullptr};
    const int error = posix_spawn(&this->pid, this->program.c_str(), &actions,
                                  nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        this->pid = -1;
        throw std::runtime_error("failed to spawn instance process " +
                                 this->program);
    }
}

void node_process::signal(int number) const
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

bool node_process::running()
{
    if (this->pid <= 0)
    {
        return false;
    }
    int wait_status = 0;
    if (::waitpid(this->pid, &wait_status, WNOHANG) != this->pid)
    {
        return true;
    }
    constexpr int signal_status_base = 128;
    this->status = WIFSIGNALED(wait_status)
                       ? signal_status_base + WTERMSIG(wait_status)
                       : WEXITSTATUS(wait_status);
    this->pid = -1;
    return false;
}

} // namespace jujubedrum
