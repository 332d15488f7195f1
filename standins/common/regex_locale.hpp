#pragma once

namespace jujubedrum
{

/// Fills the character tables that std::regex otherwise caches in the locale
/// on first use. Threads that match their first expression concurrently would
/// race on these tables. Call this before any thread is started.
void prepare_regex_locale();

} // namespace jujubedrum
