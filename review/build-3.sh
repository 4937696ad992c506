#!/bin/sh
# Builds what the scripts of review/11 to review/15 start: the stand-ins of
# review/standin-3 with one scenario a case, into target/review-3/. To be run
# from any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=$(pkg-config --cflags --libs libevent jansson libsodium)
for n in 11 12 13 14 15; do
    [ -f "review/$n/scenario.c" ] || continue
    # shellcheck disable=SC2086
    cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I review/standin-3 \
        -o "target/review-3/scenario-$n" "review/$n/scenario.c" \
        review/standin-3/world.c $flags
done
# The random plays that REPORT-3.md names: random FOLDER RECORD SEED SECONDS.
# shellcheck disable=SC2086
cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-restrict -Wno-format-truncation \
    -D_GNU_SOURCE -I review/standin-3 -o target/review-3/random \
    review/standin-3/random.c review/standin-3/world.c $flags
