#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/balancer.toml and review/build.sh.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/stand ] || [ ! -x ../../bin/heathshed ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
	exit 2
fi
exec ../bin/stand move ../.. record.txt
