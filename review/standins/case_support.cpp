#include "case_support.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include <unistd.h>

namespace jujubedrum::review
{

case_record::case_record(const std::filesystem::path& file)
    : out(file)
    , began(event_loop::now())
{
}

milliseconds case_record::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                    this->began);
}

void case_record::line(const std::string& text)
{
    this->out << this->elapsed().count() << " ms  " << text << std::endl;
}

void case_record::violation(const std::string& text)
{
    ++this->found;
    this->line("RULE BROKEN: " + text);
}

void case_record::on_start(const seen_run& run)
{
    this->line("start " + run.task + " run " + std::to_string(run.run) +
               " on " + run.worker + " fence " + std::to_string(run.token));
    if (this->check_start)
    {
        this->check_start(run);
    }
}

void case_record::on_end(const std::string& worker, const std::string& task,
                         std::uint32_t run, const std::string& how)
{
    this->line("end " + task + " run " + std::to_string(run) + " on " + worker +
               " " + how);
    if (this->check_end)
    {
        this->check_end(worker, task, how);
    }
}

std::string job_id(std::uint64_t number)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(number));
    return text.data();
}

int run_case(int argc, char** argv,
             const std::function<int(const case_options&, case_record&)>& body)
{
    if (argc < 4)
    {
        std::cerr << "usage: CASE ROOT FOLDER SCRATCH [VARIANT]\n";
        return cannot_run;
    }
    case_options options;
    options.root = argv[1];
    options.folder = argv[2];
    options.scratch = argv[3];
    options.variant = argc > 4 ? argv[4] : "";
    const char* trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string_view(trouble) != "0";
    try
    {
        case_record record(options.folder / "record.txt");
        const int status = body(options, record);
        record.line("exit status " + std::to_string(status));
        return status;
    }
    catch (const std::exception& error)
    {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return cannot_run;
    }
}

} // namespace jujubedrum::review
