# Common parts of the try scripts: a folder for logs, the processes that were started, and failed expectations.
dir=$(mktemp -d)
pids=()
failures=0

stop_all() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
	echo "FAILED: $*"
	failures=$((failures + 1))
}

# conclude ends the script with 1 when an expectation failed.
conclude() {
	if [ "$failures" -gt 0 ]; then
		echo "$failures expectations failed; logs:"
		tail -n 5 "$dir"/*.log
		exit 1
	fi
	echo "all expectations met"
}
