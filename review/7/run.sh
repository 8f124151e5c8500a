#!/bin/sh
# Answers of a node never arrive and their connections are of no further use, twice: are the owners of its tasks released?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand-2 ] && [ -x ../../bin/heathshed ] || { echo "build the programs first: the build line of deploy/balancer.toml, then review/build-2.sh"; exit 2; }
exec ../bin/stand-2 useless "$PWD/../.." "$PWD"
