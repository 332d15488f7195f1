#pragma once

#include "engine/actions.hpp"

#include <utility>
#include <vector>

namespace jujubedrum
{

/// Collects the actions of one engine step.
class outbox
{
public:
    /// Appends an action.
    void add(action next) { this->actions.push_back(std::move(next)); }

    /// Returns and removes the actions so far, in order.
    std::vector<action> take() { return std::exchange(this->actions, {}); }

private:
    std::vector<action> actions;
};

} // namespace jujubedrum
