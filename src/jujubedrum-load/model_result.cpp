#include "model_result.hpp"

namespace jujubedrum
{

double model_result::messages_per_task(const std::string& cause) const
{
    std::size_t count = 0;
    for (const auto& [name, messages] : this->messages)
    {
        count += cause.empty() || cause == name ? messages : 0;
    }
    return this->tasks == 0
               ? 0.0
               : static_cast<double>(count) / static_cast<double>(this->tasks);
}

} // namespace jujubedrum
