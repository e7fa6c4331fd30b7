# Common parts of the try scripts, to be sourced: a temporary folder in $dir, the processes to stop on exit in $pids, and the
# count of failed expectations.
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

# fail MESSAGE reports a failed expectation; the script goes on.
fail() {
	echo "FAILED: $*"
	failures=$((failures + 1))
}

# conclude exits with 1 if an expectation failed.
conclude() {
	if [ "$failures" -gt 0 ]; then
		echo "$failures expectations failed; end of each log:"
		tail -n 5 "$dir"/*.log
		exit 1
	fi
	echo "all expectations met"
}
