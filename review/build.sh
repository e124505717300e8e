#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. Needs the packages of
# the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCOLTSFOOT_TESTS=OFF >/dev/null
cmake --build review/build --target platformlib >/dev/null
LIBS=(apr-1 msgpack yaml-0.1 libmicrohttpd libcurl argtable2 libxxhash jansson)
# shellcheck disable=SC2046
cc -std=c11 -O2 -Wall -Wextra -D_POSIX_C_SOURCE=200809L -D_DEFAULT_SOURCE \
    -Isrc -Iplatform -Istandin $(pkg-config --cflags "${LIBS[@]}") \
    -o review/build/review-minion review/standin/review_minion.c \
    standin/common.c review/build/libplatformlib.a review/build/libcoltsfoot.a \
    $(pkg-config --libs "${LIBS[@]}") -lpthread -lm
echo "built review/build/review-minion"
