#!/usr/bin/env bash
# Runs every fuzz target of a build folder with the given libFuzzer options.
# Each target starts from its committed corpus; new inputs are written to the
# build folder.
set -euo pipefail
build=$1
shift
cd "$(dirname "$0")/.."
shopt -s nullglob
for target in "$build"/fuzz_*; do
    [ -x "$target" ] && [ -f "$target" ] || continue
    name=$(basename "$target")
    work="$build/corpus/$name"
    mkdir -p "$work" "fuzz/corpus/$name"
    "$target" "$@" -verbosity=0 -print_final_stats=0 \
        -artifact_prefix="$build/$name-" "$work" "fuzz/corpus/$name"
    echo "fuzz: $name passed"
done
