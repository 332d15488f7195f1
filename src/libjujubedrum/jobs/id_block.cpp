#include "jobs/id_block.hpp"

#include <utility>

namespace jujubedrum
{

id_block::id_block(issued_id first, std::uint64_t count)
    : first_id(std::move(first))
    , count(count)
{
}

issued_id id_block::at(std::uint64_t position) const
{
    return {this->first_id.instance(), this->first_id.incarnation(),
            this->first_id.sequence() + position};
}

std::string id_block::to_json() const
{
    std::string text = R"({"ids":[)";
    for (std::uint64_t i = 0; i < this->count; ++i)
    {
        text += (i > 0 ? ",\"" : "\"") + this->at(i).text() + "\"";
    }
    return text + "]}";
}

} // namespace jujubedrum
