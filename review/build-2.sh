#!/usr/bin/env bash
# Builds the driver of the scripts of the second review, which has their stand-ins and consumers; the programs of the project come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/driver2
