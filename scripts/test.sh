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
	bad=$(gofmt -l cmd pkg platform tools test 2>/dev/null)
	[ -z "$bad" ] || { echo "gofmt differs: $bad"; return 1; }
}

lint() {
	(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck) &&
		bin/staticcheck -tags process ./...
}

# names checks that the platform's names stand in platform/ alone.
names() {
	local bad
	bad=$(grep -rlE 'Response-Seal|Expect-Replica|Prefix-Hash|Not-Executed|Attempt-Id|Replica-Load|Token-Count|log-append|log-read|log-newest|keyed\.|warmupLeftMs|routeType|trafficSplit' --include='*.go' pkg cmd test)
	[ -z "$bad" ] || { echo "names of the platform outside platform/: $bad"; return 1; }
}

tests() {
	(cd tools && go build -o ../bin/verdict ./verdict) || return 1
	go test -json -race -timeout 300s "$@" 2>&1 | bin/verdict
}

tool_tests() { (cd tools && go vet ./... && go test ./...); }

step build go build -o bin/ ./cmd/...
step format format
step names names
step vet go vet -tags process ./...
step lint lint
step "unit tests" tests ./...
step "tool tests" tool_tests
if [ "${1:-}" != unit ] && [ -d test ]; then
	step "process tests" tests -tags process -p 1 ./test/... ./platform/soak
fi
exit $failed
