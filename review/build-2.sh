#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the
# libraries that the build of the deploy file has left in target/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++17 -O1 -Wall -Wextra -Wno-unused-parameter
    -Wno-missing-field-initializers -D_GNU_SOURCE -Ilib/net -Ilib/common
    $(pkg-config --cflags libevent glib-2.0 jansson)"
libraries="target/lib/net/libsl_net.a target/lib/common/libsl_common.a
    $(pkg-config --libs libevent glib-2.0 jansson zlib) -lhttp_parser"
standins="tests/standins/scheduler.cc tests/standins/store.cc
    review/standins-2/small.cc"
for program in review/standins-2/*.cc; do
    name=$(basename "$program" .cc)
    [ "$name" != small ] || continue
    # shellcheck disable=SC2086
    g++ $flags -o "$out/$name" "$program" $standins $libraries
done
