#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
cc -std=gnu11 -O2 -Wall -Wextra -o build-review-2/fleet \
    review/fleet-2/fleet.c -ljansson -lpthread
