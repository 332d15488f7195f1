#include "command_table.hpp"

#include <algorithm>
#include <iostream>
#include <string>

namespace
{

using namespace jujubedrum;

constexpr const char* exit_text =
    "Exit status:\n"
    "  0  success\n"
    "  1  usage: wrong command, option or file name\n"
    "  2  refused, or invalid\n"
    "  3  not run: no task of the job has run\n"
    "  4  failed: some tasks of the job may have run\n"
    "  5  in progress: no outcome yet, ask again with the same id\n"
    "  6  unreachable: no connection to the platform or the instance\n";

void print_list(std::ostream& out,
                const std::vector<std::unique_ptr<command>>& table)
{
    out << "Usage: jujubedrumctl COMMAND [OPTION]...\n\nCommands:\n";
    for (const auto& entry : table)
    {
        std::string name = entry->name();
        name.resize(9, ' ');
        out << "  " << name << entry->summary() << "\n";
    }
    out << "\njujubedrumctl COMMAND --help describes a command.\n\n"
        << exit_text;
}

void print_help(const command& entry, const std::vector<option_spec>& specs)
{
    std::cout << "Usage: jujubedrumctl " << entry.name();
    for (const std::string& operand : entry.operands())
    {
        std::cout << " " << operand;
    }
    std::cout << " [OPTION]...\n" << entry.summary() << "\n\nOptions:\n";
    for (const option_spec& spec : specs)
    {
        std::string left = "--" + spec.name;
        left += spec.placeholder.empty() ? "" : " " + spec.placeholder;
        left.resize(std::max<std::size_t>(left.size() + 1, 26), ' ');
        std::cout << "  " << left << spec.help;
        if (!spec.default_value.empty())
        {
            std::cout << " (default " << spec.default_value << ")";
        }
        std::cout << (spec.required ? " (required)\n" : "\n");
    }
    std::cout << "\n" << exit_text;
}

int run_command(command& entry, int argc, char** argv)
{
    std::vector<option_spec> specs = entry.options();
    specs.push_back({.name = "json", .help = "Print one line of JSON."});
    specs.push_back({.name = "help", .help = "Print this text."});
    std::string why;
    const auto line =
        command_line::parse(specs, entry.operands().size(), argc, argv, why);
    if (!line)
    {
        std::cerr << "jujubedrumctl " << entry.name() << ": " << why
                  << "; see --help\n";
        return static_cast<int>(exit_code::usage);
    }
    if (line->has("help"))
    {
        print_help(entry, specs);
        return 0;
    }
    return static_cast<int>(entry.run(*line));
}

} // namespace

int main(int argc, char** argv)
{
    const auto table = command_table();
    const std::string name = argc > 1 ? argv[1] : "";
    for (const auto& entry : table)
    {
        if (entry->name() == name)
        {
            return run_command(*entry, argc - 1, argv + 1);
        }
    }
    const bool help = name == "--help";
    print_list(help ? std::cout : std::cerr, table);
    return static_cast<int>(help ? exit_code::success : exit_code::usage);
}
