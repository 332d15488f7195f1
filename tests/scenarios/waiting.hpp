#pragma once

#include <chrono>
#include <functional>

namespace jujubedrum
{

/// Longest time a condition may take to hold. It only decides when a scenario
/// gives up, so it is far above any time seen on a busy machine.
constexpr std::chrono::seconds condition_timeout(30);

/// Waits until the condition holds; returns false after `condition_timeout`.
bool wait_for(const std::function<bool()>& condition);

} // namespace jujubedrum
