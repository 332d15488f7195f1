#pragma once

/// \file
/// Public header of the core library: the decisions of the dispatcher, free of
/// sockets, threads and clocks.

#include "base/bounded_ring.hpp"
#include "base/hash.hpp"
#include "base/hex.hpp"
#include "base/random_source.hpp"
#include "base/reason.hpp"
#include "base/time.hpp"
