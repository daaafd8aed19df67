#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption is left out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
play=$root/target/review-2/play
if [ ! -x "$play" ] || [ ! -x "$root/target/release/quartzspindle" ]; then
    echo "the router or the stand-ins are not built"
    exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
"$play" flood "$root" "$dir" "$here/record.txt"
