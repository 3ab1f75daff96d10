#!/usr/bin/env bash
# The store comes back from a copy, three times.
# usage: tests/failure/store_restored.test.sh BUILD_DIR
set -u
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$1/tests/soak/store_restored" "$1/programs/sassafrasd" "$work" 127.0.6.1
