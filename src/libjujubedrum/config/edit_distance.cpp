#include "config/edit_distance.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

// The table has (left + 1) x (right + 1) cells, so long keys are truncated; all
// valid keys are much shorter.
constexpr std::size_t max_compared_chars = 128;

} // namespace

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    left = left.substr(0, max_compared_chars);
    right = right.substr(0, max_compared_chars);
    std::vector<std::vector<std::size_t>> cost(
        left.size() + 1, std::vector<std::size_t>(right.size() + 1));
    for (std::size_t i = 0; i <= left.size(); ++i)
    {
        for (std::size_t j = 0; j <= right.size(); ++j)
        {
            if (i == 0 || j == 0)
            {
                cost[i][j] = i + j;
                continue;
            }
            const std::size_t substitution_cost =
                left[i - 1] == right[j - 1] ? 0 : 1;
            cost[i][j] = std::min({cost[i - 1][j] + 1, cost[i][j - 1] + 1,
                                   cost[i - 1][j - 1] + substitution_cost});
            if (i > 1 && j > 1 && left[i - 1] == right[j - 2] &&
                left[i - 2] == right[j - 1])
            {
                cost[i][j] = std::min(cost[i][j], cost[i - 2][j - 2] + 1);
            }
        }
    }
    return cost[left.size()][right.size()];
}

std::string nearest_word(std::string_view text,
                         const std::vector<std::string>& candidates)
{
    const auto nearest = std::min_element(
        candidates.begin(), candidates.end(),
        [text](const std::string& left, const std::string& right)
        { return edit_distance(text, left) < edit_distance(text, right); });
    return nearest == candidates.end() ? std::string() : *nearest;
}

} // namespace jujubedrum
