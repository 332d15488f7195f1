#pragma once

#include <chrono>
#include <functional>

namespace jujubedrum
{

/// Longest time a condition may take to hold. It only decides when a scenario
/// gives up, so it is far above any time seen on a busy machine.
constexpr std::chrono::seconds wait_bound(30);

/// Waits until the condition holds; returns false after `wait_bound`.
bool wait_for(const std::function<bool()>& condition);

} // namespace jujubedrum
