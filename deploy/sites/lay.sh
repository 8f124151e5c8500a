#!/bin/sh
# Lays the bench's files beside the site files, from the folder of a site that has them: lay.sh ../given/kit/more/node/sites
set -eu
for name in real.json wire.json unlock.txt; do
	cp -f "$1/$name" "$(dirname "$0")/$name"
done
chmod u+w "$(dirname "$0")"/real.json "$(dirname "$0")"/wire.json "$(dirname "$0")"/unlock.txt
