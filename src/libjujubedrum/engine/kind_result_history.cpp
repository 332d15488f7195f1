#include "engine/kind_result_history.hpp"

#include <utility>

namespace jujubedrum
{

bool kind_result_history::note(const std::string& kind,
                               const std::string& server, bool failed)
{
    if (this->kinds.size() >= max_kinds && !this->kinds.contains(kind))
    {
        this->kinds.clear();
    }
    auto& [latest, previous] = this->kinds[kind];
    if (latest.server != server)
    {
        std::swap(latest, previous);
    }
    const bool fails_elsewhere = previous.failed;
    latest = {server, failed};
    return failed && fails_elsewhere;
}

} // namespace jujubedrum
