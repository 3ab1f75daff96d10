#!/usr/bin/env bash
# A short fault soak with each seed of tests/soak/seeds.txt. Only what does not
# depend on time is checked here; `make soak` checks the rest.
# usage: tests/scripts/soak.test.sh BUILD_DIR
here=$(cd "$(dirname "$0")" && pwd)
soak=$here/../soak
for seed in $(grep -v '^#' "$soak/seeds.txt" | cut -d'|' -f1); do
    "$soak/run.sh" "$1" "$seed" "$seed" 8 1 --untimed || exit 1
done
