#!/bin/sh
# Builds the stand-ins of review/6 into target/review-2.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 -j8
