#include "common/regex_locale.hpp"

#include <limits>
#include <locale>

namespace jujubedrum
{

void prepare_regex_locale()
{
    const auto& facet =
        std::use_facet<std::ctype<char>>(std::locale::classic());
    for (int c = 0; c <= std::numeric_limits<unsigned char>::max(); ++c)
    {
        facet.narrow(static_cast<char>(c), '\0');
        facet.widen(static_cast<char>(c));
    }
}

} // namespace jujubedrum
