#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases into build/review. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B build/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review -j "$(nproc)"
