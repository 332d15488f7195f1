#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <getopt.h>

namespace jujubedrum
{

/// Reads long options into a value by a table of setters.
template <typename Options>
class option_parser
{
public:
    /// Sets one option from its text; false if the text is not valid.
    using setter = std::function<bool(Options&, const std::string&)>;

    /// \param table setters by the options' names.
    /// \param without_value names of options that take no text.
    option_parser(const std::map<std::string, setter>& table,
                  const std::set<std::string>& without_value)
        : setters(table)
        , flags(without_value)
    {
    }

    /// Returns false if an option is unknown or its text is not valid, or if
    /// operands are left over.
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
