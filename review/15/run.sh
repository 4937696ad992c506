#!/bin/sh
# Plays the scenario of this case. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not be played. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
n=$(basename "$here")
program=target/review-3/scenario-$n
if [ ! -x "$program" ] || [ ! -x target/guavaflow ]; then
    echo "build the deploy file's target and review/build-3.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$folder" "$here/record.txt"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/entry-*.log "$KEEP_LOGS"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
