#pragma once

#include "golden_transcript.hpp"
#include "load_generator.hpp"
#include "pending_call.hpp"
#include "scenario_script.hpp"
#include "testbed.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Runs the steps of one script. README.md describes the language.
class scenario
{
public:
    /// Reads the script; no process is started yet. Throws scenario_error if
    /// it cannot be read.
    /// \param bin folder of the programs.
    /// \param work folder for this scenario's files; its contents are deleted.
    /// \param script the script; files it names are relative to its folder
    /// or the parent folder.
    scenario(const std::filesystem::path& bin,
             const std::filesystem::path& work,
             const std::filesystem::path& script);
    scenario(const scenario&) = delete;
    scenario& operator=(const scenario&) = delete;
    ~scenario();

    /// Runs all steps. Throws scenario_error with the line number and text of
    /// the first step that fails.
    void run();
    /// Makes `run` wait for the reply to each request and record both.
    void record() { this->recording = true; }
    /// Returns the recorded session.
    [[nodiscard]] const std::string& transcript() const
    {
        return this->session.text();
    }
    /// Returns the last bytes of each process's log, for a failure message.
    [[nodiscard]] std::string log_tails() const;

private:
    using words = std::vector<std::string>;
    using step_function = void (scenario::*)(const words&);

    static const std::map<std::string, step_function>& steps();
    static const std::map<std::string, step_function>& expectations();

    void start(const words& step);
    void restart(const words& step);
    void stop(const words& step);
    void kill(const words& step);
    void freeze(const words& step);
    void thaw(const words& step);
    void list(const words& step);
    void fault(const words& step);
    void publish(const words& step);
    void submit(const words& step);
    void resubmit(const words& step);
    void collect(const words& step);
    void cancel(const words& step);
    void request(const words& step);
    void cut(const words& step);
    void heal(const words& step);
    void load(const words& step);
    void end_load(const words& step);
    void wait_until(const words& step);
    void pause(const words& step);
    void mask(const words& step);
    void expect(const words& step);

    void expect_answers(const words& step);
    void expect_starts(const words& step);
    void expect_no_new_starts(const words& step);
    void expect_no_repeated_starts(const words& step);
    void expect_load(const words& step);
    void expect_call(const std::string& name, const words& step);
    void expect_outcome(const std::string& name, const words& step);

    /// Sends a request in the background; steps refer to it by `name`.
    void start_call(const std::string& name, const std::string& target,
                    const scenario_http_request& request);
    [[nodiscard]] std::filesystem::path
    find_file(const std::string& name) const;
    /// Returns the call of this name; throws scenario_error if there is none.
    pending_call& find_call(const std::string& name);
    /// Returns the call's reply. If that is `in_progress`, or another process
    /// is given as target, collects the job from the target until its outcome
    /// is final or `condition_timeout` is over, and returns the last reply.
    scenario_http_reply final_reply(pending_call& call,
                                    const std::string& target);
    /// Requests a new job id from an instance.
    std::string issue_id(const std::string& target, const std::string& token);
    /// Returns the starts of each task of a job (of all jobs if empty), summed
    /// over the running backend servers.
    std::map<std::string, long long> count_starts(const std::string& job);
    long long total_starts(const std::string& backend);

    std::unique_ptr<testbed> processes;
    std::vector<scenario_step> script;
    const std::filesystem::path folder;
    std::map<std::string, std::unique_ptr<pending_call>> calls;
    std::map<std::string, std::unique_ptr<load_generator>> loads;
    golden_transcript session;
    bool recording = false;
};

} // namespace jujubedrum
