#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# build-review-3/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCOLTSFOOT_TESTS=OFF
cmake --build build-review-3 --target platformlib
for source in review/standin-3/*.c; do
    name=$(basename "$source" .c)
    # The flags of pkg-config are words.
    # shellcheck disable=SC2046
    gcc -std=gnu11 -O2 -Wall -D_DEFAULT_SOURCE -Isrc -Iplatform \
        $(pkg-config --cflags apr-1 jansson libcurl libmicrohttpd msgpack) \
        -o "build-review-3/${name//_/-}" "$source" \
        build-review-3/libplatformlib.a build-review-3/libcoltsfoot.a \
        $(pkg-config --libs apr-1 msgpack yaml-0.1 libmicrohttpd libcurl \
            argtable2 libxxhash jansson) -lpthread -lm
done
