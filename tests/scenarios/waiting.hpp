#pragma once

#include <chrono>
#include <functional>

namespace jujubedrum
{

/// Upper bound on waiting for a condition. It only determines when a scenario
/// fails, so it is far above any time observed on a busy machine.
constexpr std::chrono::seconds condition_timeout(30);

/// Polls the condition until it is met. Returns false if it is not met within
/// `condition_timeout`.
bool wait_for(const std::function<bool()>& condition);

} // namespace jujubedrum
