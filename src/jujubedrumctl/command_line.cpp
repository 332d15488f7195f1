#include "command_line.hpp"

#include <charconv>

#include <getopt.h>

namespace jujubedrum
{

namespace
{

std::vector<option> long_options(const std::vector<option_spec>& specs)
{
    std::vector<option> options;
    options.reserve(specs.size() + 1);
    for (const option_spec& spec : specs)
    {
        options.push_back({spec.name.c_str(),
                           spec.type == option_spec::kind::flag
                               ? no_argument
                               : required_argument,
                           nullptr, 0});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

bool is_number(const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && at == end;
}

} // namespace

std::optional<command_line>
command_line::parse(const std::vector<option_spec>& specs, std::size_t operands,
                    int argc, char** argv, std::string& why)
{
    command_line line;
    const std::vector<option> options = long_options(specs);
    int index = 0;
    int found = 0;
    optind = 1;
    while ((found = getopt_long(argc, argv, "", options.data(), &index)) != -1)
    {
        if (found != 0)
        {
            why = "unknown option, or an option without its value";
            return std::nullopt;
        }
        const option_spec& spec = specs[static_cast<std::size_t>(index)];
        const std::string value = optarg == nullptr ? "" : optarg;
        line.values[spec.name] = value;
        if (spec.type == option_spec::kind::number && !is_number(value))
        {
            why = "--" + spec.name + ": not a number: " + value;
            return std::nullopt;
        }
    }
    line.operand_values.assign(argv + optind, argv + argc);
    if (line.has("help"))
    {
        return line;
    }
    if (line.operand_values.size() != operands)
    {
        why = "expected " + std::to_string(operands) + " operands, found " +
              std::to_string(line.operand_values.size());
        return std::nullopt;
    }
    for (const option_spec& spec : specs)
    {
        if (spec.required && !line.has(spec.name))
        {
            why = "--" + spec.name + " is required";
            return std::nullopt;
        }
        if (!spec.default_value.empty())
        {
            line.values.try_emplace(spec.name, spec.default_value);
        }
    }
    return line;
}

bool command_line::has(const std::string& name) const
{
    return this->values.contains(name);
}

std::string command_line::text(const std::string& name) const
{
    const auto at = this->values.find(name);
    return at == this->values.end() ? std::string() : at->second;
}

std::uint64_t command_line::number(const std::string& name) const
{
    const std::string text = this->text(name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string command_line::operand(std::size_t index) const
{
    return index < this->operand_values.size() ? this->operand_values[index]
                                               : std::string();
}

} // namespace jujubedrum
