#!/bin/sh
# Builds what the scripts of the second review start, after the build of the
# deploy file, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
libs=$(pkg-config --cflags --libs libevent libtirpc libcyaml jansson libsodium libxxhash)
for n in 6 7 8 9 10; do
    [ -f "review/standin-2/case-$n.c" ] || continue
    # shellcheck disable=SC2086
    cc -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Iinclude -Ireview/standin-2 \
        -o "target/review-2/case-$n" "review/standin-2/case-$n.c" \
        review/standin-2/sim.c target/libguavaflow_core.a $libs -lm
done
