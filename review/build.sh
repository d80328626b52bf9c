#!/usr/bin/env bash
# Builds the stand-ins and the programs of the script cases into review/bin.
# Needs the build of the deploy file (libraries in target/) and its packages.
set -euo pipefail
cd "$(dirname "$0")/.."

out=review/bin
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -DASIO_STANDALONE
  -Iinclude -Isrc -Itests -Iplatform -Ireview)
libs=(target/libqs_io.a target/libqs_core.a -lcivetweb -lprometheus-cpp-core
  -llog4cplus -lcurl -lcrypto -linih -lurcu-bp -lurcu-common -lxxhash
  -lpthread)

objects=()
pids=()
for source in tests/lib/fake_kv.cc tests/lib/process.cc \
    tests/lib/raw_connection.cc review/standins/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done

for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libs[@]}" \
    -o "$out/$(basename "$source" .cc)$number"
done
