#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/stand2 ./review/stand2
