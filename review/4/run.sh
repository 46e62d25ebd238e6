#!/usr/bin/env bash
# Runs the case "foreign": 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/mangowing ] && [ -x target/review/stand ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
MANGOWING=target/mangowing RECORD="$here/record.txt" exec target/review/stand foreign
