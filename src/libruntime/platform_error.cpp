#include "platform_error.hpp"

namespace jujubedrum
{

std::string_view to_string(platform_error code)
{
    switch (code)
    {
    case platform_error::none:
        return "none";
    case platform_error::unreachable:
        return "unreachable";
    case platform_error::timeout:
        return "timeout";
    case platform_error::refused:
        return "refused";
    case platform_error::malformed:
        return "malformed";
    }
    return "none";
}

} // namespace jujubedrum
