#pragma once

/// \file
/// Public header of the runtime library: threads, sockets, logs and metrics
/// around the core library.
