#include "child_process.hpp"

#include "scenario_error.hpp"
#include "waiting.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

constexpr int exec_failed_status = 127;

} // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::filesystem::path& log)
{
    int pipe_ends[2] = {-1, -1};
    const int log_file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log_file < 0 || ::pipe2(pipe_ends, O_CLOEXEC) != 0)
    {
        throw scenario_error("cannot open the log file or output pipe of " +
                             arguments[0]);
    }
    std::vector<char*> argv;
    for (const std::string& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid == 0)
    {
        // Only async-signal-safe calls are allowed in the child of a threaded
        // process.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(pipe_ends[1], STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::execv(argv[0], argv.data());
        ::_exit(exec_failed_status);
    }
    ::close(pipe_ends[1]);
    ::close(log_file);
    this->output = pipe_ends[0];
    if (this->pid < 0)
    {
        ::close(this->output);
        throw scenario_error("cannot fork for " + arguments[0]);
    }
}

child_process::~child_process()
{
    if (!this->status.has_value())
    {
        ::kill(this->pid, SIGKILL);
        this->reap(true);
    }
    ::close(this->output);
}

std::optional<std::string> child_process::read_line()
{
    const auto deadline = std::chrono::steady_clock::now() + condition_timeout;
    while (this->buffered.find('\n') == std::string::npos)
    {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
        pollfd entry{this->output, POLLIN, 0};
        char bytes[256];
        if (remaining.count() <= 0 ||
            ::poll(&entry, 1, static_cast<int>(remaining.count())) <= 0)
        {
            return std::nullopt;
        }
        const ssize_t count = ::read(this->output, bytes, sizeof(bytes));
        if (count <= 0)
        {
            return std::nullopt;
        }
        this->buffered.append(bytes, static_cast<std::size_t>(count));
    }
    const std::size_t end = this->buffered.find('\n');
    std::string line = this->buffered.substr(0, end);
    this->buffered.erase(0, end + 1);
    return line;
}

void child_process::signal(int signal_number) const
{
    if (!this->status.has_value())
    {
        ::kill(this->pid, signal_number);
    }
}

std::optional<int> child_process::wait_exit()
{
    wait_for([this] { return this->reap(false); });
    return this->status;
}

bool child_process::running()
{
    return !this->reap(false);
}

bool child_process::reap(bool block)
{
    if (this->status.has_value())
    {
        return true;
    }
    int wait_status = 0;
    if (::waitpid(this->pid, &wait_status, block ? 0 : WNOHANG) != this->pid)
    {
        return false;
    }
    this->status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                          : 128 + WTERMSIG(wait_status);
    return true;
}

} // namespace jujubedrum
