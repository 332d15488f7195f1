#pragma once

#include "config/settings.hpp"
#include "runtime.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Runs an entry instance: engine, HTTP interface and connections to peers.
class daemon
{
public:
    explicit daemon(settings values);

    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    /// \return the exit status: 0 after a graceful stop, 1 if it cannot listen
    /// for peers or callers.
    int run();

private:
    void wait_for_signal() const;
    void drain();

    settings values;
    std::uint64_t incarnation;
    metrics_registry metrics;
    engine_host host;
    http_frontend frontend;
};

} // namespace jujubedrum
