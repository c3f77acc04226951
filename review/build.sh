#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. They need no module but the
# standard library. The program itself is built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOFLAGS=-buildvcs=false go build -o ../../target/review .
