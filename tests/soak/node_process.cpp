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
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string option = "--settings";
    std::array<char*, 4> arguments{this->program.data(), option.data(),
                                   this->settings.data(), nullptr};
    const int failure = posix_spawn(&this->pid, this->program.c_str(), &actions,
                                    nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
    {
        this->pid = -1;
        throw std::runtime_error("cannot start " + this->program);
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
    int raw = 0;
    if (::waitpid(this->pid, &raw, WNOHANG) != this->pid)
    {
        return true;
    }
    constexpr int killed = 128;
    this->status = WIFSIGNALED(raw) ? killed + WTERMSIG(raw) : WEXITSTATUS(raw);
    this->pid = -1;
    return false;
}

} // namespace jujubedrum
