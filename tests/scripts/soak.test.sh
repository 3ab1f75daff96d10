#!/usr/bin/env bash
# Runs a fault soak of 8 s without drills, one at a time, with each seed of
# tests/soak/seeds.txt. Checks only the properties that do not depend on
# timing; `make soak` checks all.
# usage: tests/scripts/soak.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
soak=$here/../soak
for seed in $(grep -v '^#' "$soak/seeds.txt" | cut -d'|' -f1); do
    "$soak/run.sh" "$1" "$seed" "$seed" 8 1 --untimed --no-drills || exit 1
done
# With limits that runners state, and a store that comes back from a copy.
for seed in 3 4; do
    "$soak/run.sh" "$1" "$seed" "$seed" 12 1 --untimed || exit 1
done
