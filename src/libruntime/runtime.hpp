#pragma once

/// \file
/// Public header of the runtime library: threads, sockets, logs and metrics
/// around the core library.

#include "backend_client.hpp"
#include "engine_host.hpp"
#include "http_frontend.hpp"
#include "logging.hpp"
#include "metrics_registry.hpp"
#include "peer_transport.hpp"
#include "platform_client.hpp"
#include "platform_link.hpp"
#include "reply_registry.hpp"
