#!/usr/bin/env bash
# Builds, checks the formatting, lints, vets and tests. Requires Go and a C compiler; downloads only declared modules.
# Usage: scripts/test.sh [unit]; with unit, the tests that start processes are skipped.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0

# step NAME COMMAND... runs a command and reports its result and duration.
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
	local files
	files=$(gofmt -l cmd pkg platform tools test 2>/dev/null)
	[ -z "$files" ] || { echo "not formatted by gofmt: $files"; return 1; }
}

lint() {
	(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck) &&
		bin/staticcheck -tags process ./...
}

# platform_names checks that only platform/ contains protocol names of the users' platform.
platform_names() {
	local files
	files=$(grep -rlE 'Response-Seal|Server-Leaving|Server-Limit|Server-Brittle|Expect-Replica|Prefix-Hash|Not-Executed|Attempt-Id|Replica-Load|Token-Count|Store-Era|log-append|log-read|log-newest|keyed\.|warmupLeftMs|routeType|trafficSplit' --include='*.go' pkg cmd test)
	[ -z "$files" ] || { echo "platform protocol names outside platform/: $files"; return 1; }
}

tests() {
	(cd tools && go build -o ../bin/verdict ./verdict) || return 1
	go test -json -race -timeout 300s "$@" 2>&1 | bin/verdict | tee bin/verdict.txt
	local status=("${PIPESTATUS[@]}")
	# go test also fails for tests that KNOWN-RED.txt lists; nothing else may excuse its exit status.
	[ "${status[1]}" = 0 ] && { [ "${status[0]}" = 0 ] || grep -q '^KNOWN RED: ' bin/verdict.txt; }
}

tool_tests() { (cd tools && go vet ./... && go test ./...); }

# readme_commands checks that the scripts that README.md names can be run as they are written there.
readme_commands() {
	local script failed=0
	for script in $(grep -oE '^    (scripts|platform)/[a-z]+\.sh' README.md | sort -u) scripts/trial.sh platform/try.sh; do
		[ "$(git ls-files --stage "$script" | cut -c1-6)" = 100755 ] && [ -x "$script" ] || { echo "$script has no run bit"; failed=1; }
	done
	return $failed
}

step build go build -o bin/ ./cmd/...
step format format
step "README commands" readme_commands
step "platform names" platform_names
step vet go vet -tags process ./...
step lint lint
step "unit tests" tests ./...
step "tool tests" tool_tests
if [ "${1:-}" != unit ] && [ -d test ]; then
	step "crowd tests" tests -count=1 -tags process -p 1 ./platform/crowd
	step "process tests" tests -count=1 -tags process -p 1 ./test/... ./platform/soak
	step "README try" scripts/try.sh
fi
exit $failed
