#pragma once

#include <string>

namespace jujubedrum
{

/// Description of a command-line option.
struct option_spec
{
    /// Type of the option's value; a flag has none.
    enum class kind
    {
        flag,
        text,
        number,
    };

    std::string name{};
    kind type = kind::flag;
    std::string placeholder{};
    std::string help{};
    /// Value of the option if it is absent; empty if there is no default.
    std::string default_value{};
    bool required = false;
};

} // namespace jujubedrum
