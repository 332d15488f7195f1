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

/// Runs the steps of one script. README.md describes them.
class scenario
{
public:
    /// \param bin folder of the programs.
    /// \param work folder for this scenario's files.
    /// \param script the script; files it names are relative to its folder
    /// or the one above.
    scenario(const std::filesystem::path& bin,
             const std::filesystem::path& work,
             const std::filesystem::path& script);
    scenario(const scenario&) = delete;
    scenario& operator=(const scenario&) = delete;
    ~scenario();

    /// Runs all steps. Throws scenario_error, naming the line, on the first
    /// that fails.
    void run();
    /// Makes every request wait for its reply and record both.
    void record() { this->recording = true; }
    /// Returns the recorded session.
    [[nodiscard]] const std::string& transcript() const
    {
        return this->session.text();
    }
    /// Returns the ends of the processes' logs.
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

    void start_call(const std::string& name, const std::string& target,
                    const scenario_http_request& request);
    [[nodiscard]] std::filesystem::path
    find_file(const std::string& name) const;
    pending_call& find_call(const std::string& name);
    scenario_http_reply final_reply(pending_call& call,
                                    const std::string& target);
    std::string issue_id(const std::string& target, const std::string& token);
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
