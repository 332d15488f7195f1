#pragma once

namespace jujubedrum
{

/// Fills the character table that std::regex caches in the locale on first
/// use. Without it, threads that match their first expression at the same
/// time race on that table. Call it before any thread is started.
void prepare_regex_locale();

} // namespace jujubedrum
