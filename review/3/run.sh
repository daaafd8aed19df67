#!/bin/sh
# Runs the case and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
standins=$here/../../target/review/standins
[ -x "$standins" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$standins" release "$here/record.txt"
