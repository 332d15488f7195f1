#!/usr/bin/env bash
# Runs the program of a case: run.sh FOLDER PROGRAM [VARIANT]. Exit status: 1
# the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$1
program=$2
variant=${3:-}
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
if [ ! -x "$root/build/review/$program" ] ||
    [ ! -x "$root/target/bin/jujubedrum-node" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout 115 "$root/build/review/$program" "$root" "$folder" "$scratch" $variant
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
