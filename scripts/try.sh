#!/usr/bin/env bash
# Builds the programs, starts three entry instances and stand-ins of a platform on 127.0.0.1, sends requests, checks the answers
# and stops all processes. Then it does the same with stand-ins of the users' platform (platform/try.sh).
# Usage: scripts/try.sh [--stay]; with --stay, the first set of processes keeps running until interrupted.
# Requires Go, a C compiler and free ports from BASE_PORT on.
set -uo pipefail
cd "$(dirname "$0")/.."
base=${BASE_PORT:-17400}
. scripts/trial.sh

# port NAME prints the port of a stand-in.
names=(log list ratings weights engine-a engine-b booking-c)
port() {
	local i
	for i in "${!names[@]}"; do
		[ "${names[$i]}" = "$1" ] && echo $((base + i))
	done
}

# standin KIND NAME FAULTS [ARGS...] starts a stand-in with the given faults as JSON.
standin() {
	local kind=$1 name=$2 faults=$3
	shift 3
	bin/standin --listen "127.0.0.1:$(port "$name")" --faults "$faults" "$@" "$kind" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

# register NAME JSON adds an instance or upstream to the platform's instance list.
register() {
	exec 3<>"/dev/tcp/127.0.0.1/$(port list)"
	printf 'PUT /instances/%s HTTP/1.1\r\nHost: list\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "$1" "${#2}" "$2" >&3
	grep -q '^HTTP/1.1 20' <&3 || fail "registering $1: no success status from the instance list"
	exec 3>&-
}

# faults NAME JSON sets faults of a stand-in.
faults() {
	exec 3<>"/dev/tcp/127.0.0.1/$(port "$1")"
	printf 'PUT /faults HTTP/1.1\r\nHost: standin\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "${#2}" "$2" >&3
	grep -q '^HTTP/1.1 20' <&3 || fail "faults of $1: no success status"
	exec 3>&-
}

# wait_for_port PORT waits up to 5 s until a process listens on the port.
wait_for_port() {
	local i
	for i in $(seq 100); do
		(exec 4<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return
		sleep 0.05
	done
	fail "no process listens on port $1"
}

# daemon LETTER INDEX starts entry-LETTER in zone-LETTER and registers it.
daemon() {
	local name=entry-$1 at=$((base + 20 + 10 * $2))
	cat >"$dir/$name.json" <<-EOF
		{
			// Short intervals, so that the instances are ready soon; docs/SETTINGS.md has the defaults.
			"Name": "$name", "Zone": "zone-$1",
			"CallerAddress": "127.0.0.1:$at", "AdminAddress": "127.0.0.1:$((at + 1))", "PeerAddress": "127.0.0.1:$((at + 2))",
			"Platform": {"Log": "http://127.0.0.1:$(port log)", "List": "http://127.0.0.1:$(port list)",
				"Ratings": "http://127.0.0.1:$(port ratings)", "Weights": "http://127.0.0.1:$(port weights)"},
			"Keys": {"AdminFile": "$dir/admin.key", "PeerFile": "$dir/peer.key", "SessionFile": "$dir/session.key"},
			"Times": {"ListPoll": 200, "LoadPoll": 200, "PeerTick": 200, "ListLag": 300, "ColdLease": 600, "ColdHold": 2000},
		}
	EOF
	bin/carawayknotd --settings "$dir/$name.json" --check >/dev/null || fail "invalid settings of $name"
	bin/carawayknotd --settings "$dir/$name.json" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	wait_for_port "$at"
	register "$name" "{\"Name\":\"$name\",\"Role\":\"Entry\",\"Address\":\"127.0.0.1:$at\",\"PeerAddress\":\"127.0.0.1:$((at + 2))\",\"Zone\":\"zone-$1\",\"Incarnation\":1}"
}

# tool ARGS... runs the operator tool against entry-a.
tool() { bin/carawayknot --admin "http://127.0.0.1:$((base + 21))" --key-file "$dir/admin.key" --author try "$@"; }

# request INDEX ARGS... sends one request through an instance and retries it while the error output asks for a retry.
request() {
	local url="http://127.0.0.1:$((base + 20 + 10 * $1))" i
	shift
	for i in $(seq 60); do
		bin/carawayknot request --url "$url" --workspace-key-file "$dir/workspace.key" "$@" >"$dir/out" 2>"$dir/err" && break
		grep -qE 'RetryAfter|retry|come back|again' "$dir/err" || break
		sleep 0.3
	done
	cat "$dir/out" "$dir/err"
	echo
}

# expect PATTERN NAME checks that the last output matches the pattern.
expect() {
	grep -qE "$1" "$dir/out" "$dir/err" || fail "$2: output does not match $1"
}

echo "== build"
go build -o bin/ ./cmd/... || exit 1
printf 'admin-key-0123456789abcdef0123456789\n' >"$dir/admin.key"
printf 'peer-key-0123456789abcdef01234567890\n' >"$dir/peer.key"
printf 'session-key-0123456789abcdef01234567\n' >"$dir/session.key"
printf 'front-desk-key-0001\n' >"$dir/workspace.key"

echo "== start stand-ins of the platform, two engines, a booking service and three entry instances"
standin log log '{}'
standin list list '{}'
standin weights weights '{}'
standin ratings ratings '{"Means":{"leaf@1":0.3,"estate@3":0.95}}'
rating_url="http://127.0.0.1:$(port ratings)"
standin engine engine-a '{"Versions":["leaf@1"],"Bearable":32,"Tokens":12,"TokenMillis":5}' --ratings "$rating_url"
standin engine engine-b '{"Versions":["leaf@1","estate@3"],"Bearable":32,"Tokens":12,"TokenMillis":5}' --ratings "$rating_url"
standin service booking-c '{}'
for name in "${names[@]}"; do wait_for_port "$(port "$name")"; done
register engine-a "{\"Name\":\"engine-a\",\"Role\":\"Engine\",\"Address\":\"127.0.0.1:$(port engine-a)\",\"Zone\":\"zone-a\",\"Incarnation\":1,\"Versions\":[\"leaf@1\"]}"
register engine-b "{\"Name\":\"engine-b\",\"Role\":\"Engine\",\"Address\":\"127.0.0.1:$(port engine-b)\",\"Zone\":\"zone-b\",\"Incarnation\":1,\"Versions\":[\"leaf@1\",\"estate@3\"]}"
register booking-c "{\"Name\":\"booking-c\",\"Role\":\"Service\",\"Address\":\"127.0.0.1:$(port booking-c)\",\"Zone\":\"zone-c\",\"Incarnation\":1,\"Service\":\"booking\"}"
daemon a 0
daemon b 1
daemon c 2

echo "== apply the configuration"
for i in $(seq 40); do
	tool config apply examples/config.json --note "first trial" >"$dir/out" 2>"$dir/err" && break
	sleep 0.25
done
cat "$dir/out"
expect Accepted "configuration"

echo "== streamed chat completion through entry-a"
request 0 --profile reply --request-id chat-1 "Karibu! Four guests at six?"
expect 'version leaf@1' "chat"
expect 'outcome Ran' "chat"

echo "== cascade through entry-b: the answer of the cheaper version is rated too low, so that the better version answers"
request 1 --profile dossier --request-id dossier-1 "Provenance of remnant 12, Kairouan."
expect 'version estate@3' "dossier"

echo "== booking sent twice with the same idempotency key, through entry-a and entry-c: it runs once"
key="$(date +%s%3N)-table-7"
request 0 --service booking --path /tables --request-key "$key" --request-id booking-1 '{"Table": 7}'
expect 'outcome Ran' "booking"
cp "$dir/out" "$dir/first"
request 2 --service booking --path /tables --request-key "$key" --request-id booking-2 '{"Table": 7}'
cmp -s "$dir/first" "$dir/out" || fail "the second request with the same key got a different answer"
exec 3<>"/dev/tcp/127.0.0.1/$(port booking-c)"
printf 'GET /runs HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n\r\n' >&3
runs=$(grep -o "\"$key\":[0-9]*" <&3 | head -1)
exec 3>&-
echo "runs at the booking service: ${runs:-none}"
[ "$runs" = "\"$key\":1" ] || fail "runs of the booking: got ${runs:-none}, want \"$key\":1"

echo "== chat and booking whose answers end with their connection, each with a silence of 1.2 s in the middle"
faults engine-a '{"Unframed": true, "PauseMillis": 1200, "PauseAfter": 4}'
faults engine-b '{"Unframed": true, "PauseMillis": 1200, "PauseAfter": 4}'
faults booking-c '{"Unframed": true, "PauseMillis": 1200}'
request 1 --profile reply --request-id chat-2 "Karibu! Two guests at seven?"
expect 'outcome Ran' "unframed chat"
request 1 --service booking --path /tables --request-key "$(date +%s%3N)-table-8" --request-id booking-3 '{"Table": 8}'
expect 'outcome Ran' "unframed booking"

echo "== bills"
for id in chat-1 dossier-1 booking-1 chat-2 booking-3; do
	for i in $(seq 20); do
		tool bill "$id" >"$dir/out" 2>"$dir/err" && break
		sleep 0.1
	done
	cat "$dir/out"
	expect "$id" "bill of $id"
done
if tool bill booking-2 >"$dir/out" 2>&1; then fail "the second booking request with the same key was billed"; fi

if [ "${1:-}" = --stay ]; then
	cat <<-EOF

		The instances run until interrupted; settings, keys and logs are in $dir.

		curl -N http://127.0.0.1:$((base + 20))/v1/chat/completions -H 'Authorization: Bearer front-desk-key-0001' \\
		  -H 'Carawayknot-Profile: reply' -d '{"stream": true, "messages": [{"role": "user", "content": "Karibu"}]}'
		curl http://127.0.0.1:$((base + 40))/services/booking/tables -H 'Authorization: Bearer front-desk-key-0001' \\
		  -H "Carawayknot-Request-Key: \$(date +%s%3N)-table-8" -d '{"Table": 8}'
		curl http://127.0.0.1:$((base + 20))/metrics
		bin/carawayknot --admin http://127.0.0.1:$((base + 21)) --key-file $dir/admin.key upstream list
	EOF
	wait
fi
conclude
# The processes above run until the end of this script, so that the next ones need other ports.
BASE_PORT=$((base + 200)) platform/try.sh
