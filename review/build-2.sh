#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin. They need no module but the standard library.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cd stand-2
GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off CGO_ENABLED=0 go build -o ../bin/stand-2 .
