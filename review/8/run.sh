#!/usr/bin/env bash
# Plays the case with target/mangowing and target/review/lab, and writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangowing ] && [ -x target/review/lab ] || { echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review/lab reborn-lease review/8
