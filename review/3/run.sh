#!/usr/bin/env bash
# Plays the case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/peppertraild ] || [ ! -x target/review/rig ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review/rig restart review/3/record.txt
