#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: review/bin/stand. It needs no network and no module.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./stand
