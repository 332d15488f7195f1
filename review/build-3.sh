#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into
# build/review-3/bin. The program under test is that of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -DCMAKE_BUILD_TYPE=Release \
    -DJUJUBEDRUM_BUILD_TESTS=ON -DJUJUBEDRUM_BUILD_FUZZERS=OFF \
    -DJUJUBEDRUM_WERROR=OFF \
    -DCMAKE_PROJECT_jujubedrum_INCLUDE="$PWD/review/standins-3/with_cases.cmake" \
    >/dev/null
cmake --build build/review-3 -j 8 --target review3_all
