#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the
# deploy file. Needs a compiler and nlohmann-json3-dev, which it declares.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -pthread -Wall -Wextra -Ireview "$source" \
    -o "target/review-3/case-$number"
done
