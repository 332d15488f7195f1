#include "config/config_error.hpp"

namespace jujubedrum
{

std::string_view to_string(config_error code)
{
    switch (code)
    {
    case config_error::none:
        return "none";
    case config_error::malformed:
        return "malformed";
    case config_error::duplicate_key:
        return "duplicate_key";
    case config_error::unknown_key:
        return "unknown_key";
    case config_error::missing_key:
        return "missing_key";
    case config_error::wrong_type:
        return "wrong_type";
    case config_error::out_of_bounds:
        return "out_of_bounds";
    case config_error::unknown_section:
        return "unknown_section";
    case config_error::bad_key:
        return "bad_key";
    case config_error::bad_signature:
        return "bad_signature";
    case config_error::wrong_owner:
        return "wrong_owner";
    case config_error::stale:
        return "stale";
    case config_error::repeat:
        return "repeat";
    case config_error::ignored:
        return "ignored";
    }
    return "none";
}

} // namespace jujubedrum
