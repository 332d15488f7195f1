#!/bin/sh
# Builds the stand-ins of the cases 6 and later into target/review-2/bin.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
