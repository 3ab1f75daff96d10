#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review/. Needs the C
# compiler of the deploy file's packages, and no library but the C library.
set -eu
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for case in */case.c; do
    name=${case%/case.c}
    "${CC:-cc}" -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
        "$case" standins/*.c -o "$out/case-$name"
done
