#!/usr/bin/env bash
# Runs every benchmark and prints its tables, in which "ours" is this project's
# policy beside the baselines.
# usage: tests/bench/run.sh BUILD_DIR [--json]
set -eu
build=$1
shift
for bench in "$build"/tests/bench/bench_*; do
    [ -f "$bench" ] && [ -x "$bench" ] || continue
    "$bench" "$@"
done
