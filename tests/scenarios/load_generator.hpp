#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubedrum
{

/// Submits jobs on several threads until it is stopped or 60 s have passed.
/// Each thread waits for the outcome of a job before it submits the next. The
/// answers of complete jobs are checked.
class load_generator
{
public:
    /// \param options of `make_job`, and `concurrency` (default 4).
    load_generator(std::string name, int port, std::string token,
                   std::map<std::string, std::string> options);
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;
    ~load_generator();

    /// Stops submitting and waits for outstanding replies. May be called again.
    void stop();
    /// Returns the number of jobs by outcome: that of the reply, "refused",
    /// "no_reply" or an HTTP status such as "error 401".
    std::map<std::string, int> outcomes();
    /// Returns a description of each complete job with wrong answers.
    std::vector<std::string> answer_errors();

private:
    void run(int thread_number);
    void submit(const std::string& job_name);

    const std::string name;
    const int port;
    const std::string token;
    const std::map<std::string, std::string> options;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::map<std::string, int> outcome_counts;
    std::vector<std::string> wrong_answers;
    std::vector<std::thread> threads;
};

} // namespace jujubedrum
