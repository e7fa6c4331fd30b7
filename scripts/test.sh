#!/usr/bin/env bash
# Builds, checks the format, lints, vets and tests. It needs Go and a C compiler, and fetches declared modules only.
# scripts/test.sh unit leaves the tests with real processes out.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
step() {
	local name=$1 start=$SECONDS
	shift
	if "$@"; then
		echo "ok: $name ($((SECONDS - start)) s)"
	else
		echo "FAILED: $name"
		failed=1
	fi
}

format() {
	local bad
	bad=$(gofmt -l cmd pkg tools test 2>/dev/null)
	[ -z "$bad" ] || { echo "gofmt differs: $bad"; return 1; }
}

lint() {
	(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck) &&
		bin/staticcheck -tags process ./...
}

tests() {
	(cd tools && go build -o ../bin/verdict ./verdict) || return 1
	go test -json -race -timeout 300s "$@" 2>&1 | bin/verdict
}

step build go build -o bin/ ./cmd/...
step format format
step vet go vet -tags process ./...
step lint lint
step "unit tests" tests ./...
if [ "${1:-}" != unit ] && [ -d test ]; then
	step "process tests" tests -tags process -p 1 ./test/...
fi
exit $failed
