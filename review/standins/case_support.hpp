#pragma once

#include "deployment.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubedrum::review
{

/// Arguments of a case program.
struct case_options
{
    std::filesystem::path root;   ///< of the repository
    std::filesystem::path folder; ///< where `record.txt` is written
    std::filesystem::path scratch;
    std::string variant; ///< of a program that plays more than one case
    bool trouble = true;
};

/// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int cannot_run = 2;

/// Writes what was sent, answered and run, with the time since the beginning.
class case_record : public run_observer
{
public:
    explicit case_record(const std::filesystem::path& file);

    void line(const std::string& text);
    /// Records a finding; the case then fails.
    void violation(const std::string& text);
    [[nodiscard]] std::size_t violations() const { return this->found; }
    [[nodiscard]] milliseconds elapsed() const;
    void on_start(const seen_run& run) override;
    void on_end(const std::string& worker, const std::string& task,
                std::uint32_t run, const std::string& how) override;

    /// Called with each start, after it is recorded.
    std::function<void(const seen_run&)> check_start;
    /// Called with worker, task and outcome of each end.
    std::function<void(const std::string&, const std::string&,
                       const std::string&)>
        check_end;

private:
    std::ofstream out;
    instant began;
    std::size_t found = 0;
};

/// Returns a job id of 16 hexadecimal digits.
std::string job_id(std::uint64_t number);

/// Runs a case: reads the arguments and turns exceptions into `cannot_run`.
int run_case(int argc, char** argv,
             const std::function<int(const case_options&, case_record&)>& body);

} // namespace jujubedrum::review
