#!/usr/bin/env bash
# Runs the slow tests that CI leaves out: sixty daemons on this machine (about two minutes), then the process tests N times.
# Usage: scripts/soak.sh [N]; N is 10 by default.
set -uo pipefail
cd "$(dirname "$0")/.."
go test -tags soak -run TestSixtyDaemons -v -timeout 300s ./test 2>&1 | grep -E 'soak_test|^(ok|FAIL|---)' || exit 1
for i in $(seq "${1:-10}"); do
	echo "round $i"
	go test -tags process -count=1 -timeout 300s ./test 2>&1 | grep -E '^(ok|FAIL|\s*---)|_test.go:' || exit 1
done
