#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into target/review.
# The product itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -o target/review/standin \
    review/standin/*.c $(pkg-config --cflags --libs libevent jansson)
