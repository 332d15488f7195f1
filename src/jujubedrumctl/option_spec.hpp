#pragma once

#include <string>

namespace jujubedrum
{

/// Declares an option of a command.
struct option_spec
{
    /// What follows the option on the command line.
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
    /// Value if the option is absent; empty for none.
    std::string default_value{};
    bool required = false;
};

} // namespace jujubedrum
