#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <getopt.h>

namespace jujubedrum
{

/// Parses long options by a table of functions, one for each option, that
/// store its value.
template <typename Options>
class option_parser
{
public:
    /// Stores the value of an option; returns false if the text is invalid.
    using setter = std::function<bool(Options&, const std::string&)>;

    /// \param table setters by option name, without the leading dashes.
    /// \param without_value names of the options that take no value.
    option_parser(const std::map<std::string, setter>& table,
                  const std::set<std::string>& without_value)
        : setters(table)
        , flags(without_value)
    {
    }

    /// Parses `argv[1]` and on. Returns false if an option is unknown or its
    /// value is invalid, or if there are operands.
    [[nodiscard]] bool parse(int argc, char** argv, Options& options) const
    {
        std::vector<option> long_options;
        std::vector<const setter*> by_index;
        for (const auto& [key, set] : this->setters)
        {
            const int argument_kind =
                this->flags.count(key) > 0 ? no_argument : required_argument;
            long_options.push_back({key.c_str(), argument_kind, nullptr, 1});
            by_index.push_back(&set);
        }
        long_options.push_back({nullptr, 0, nullptr, 0});
        int index = 0;
        int found = 0;
        while ((found = getopt_long(argc, argv, "", long_options.data(),
                                    &index)) != -1)
        {
            const std::string text = optarg == nullptr ? "" : optarg;
            if (found != 1 ||
                !(*by_index[static_cast<std::size_t>(index)])(options, text))
            {
                return false;
            }
        }
        return optind == argc;
    }

private:
    std::map<std::string, setter> setters;
    std::set<std::string> flags;
};

} // namespace jujubedrum
