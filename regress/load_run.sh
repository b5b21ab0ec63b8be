#!/bin/sh
# Guards against a load tool, or its check of the records, that misses lost,
# duplicate or wrong responses.

. "$(dirname "$0")/standins.sh"

run () { # address, mix of the experiment, options...
	target=$1
	mix=$2
	shift 2
	echo "{\"duration_s\":1,\"arrival\":{\"kind\":\"burst\",\"burst\":10,
	  \"every_ms\":500},\"mix\":[$mix]}" >"$dir/experiment"
	"$load" -t "$target" "$@" "$dir/experiment" >"$dir/report" 2>&1
	status=$?
}

expect_row () { # what, class, counts of the report up to "wrong"
	row=$(awk -v c="$2" '$1 == c { print $2, $3, $5, $6, $7; exit }' \
	    "$dir/report")
	[ "$row" = "$3" ] || { echo "$1: expected $3, got $row"; exit 1; }
}

start engine --prefill-ms 1 --token-ms 5
engine=$address
call "$engine" /admin/load \
    '{"model":"m","version":"1","bytes":1,"fence":"1"}' >/dev/null
await "loaded" '"state":"loaded"' "$engine" /admin/state
chat='{"name":"chat","kind":"chat","models":["m"],"deadline_ms":100}'
run "$engine" "$chat"
expect_row "all complete" chat "20 20 0 0 0"
[ $status -eq 0 ] || { echo "exit status $status without lost responses"; exit 1; }

# Every stream is cut; without --resend the response is lost.
call "$engine" /fault '{"cut_after_tokens":1}' >/dev/null
run "$engine" "$chat"
expect_row "lost" chat "20 0 20 0 0"
[ $status -ne 0 ] || { echo "lost responses were not detected"; exit 1; }
call "$engine" /fault '{"cut_after_tokens":0}' >/dev/null

# A service that runs a repeated call again is detected both by its responses and
# by its records.  One that stores the first response is not reported.
booking='{"name":"booking","kind":"service","services":["s"],"key":true,
  "repeat_percent":100}'
start service
run "$address" "$booking" --keys "$dir/keys"
expect_row "duplicate" booking "40 20 0 20 0"
[ $status -ne 0 ] || { echo "duplicate responses were not detected"; exit 1; }
found=$("$load" check --service "$address" --keys "$dir/keys") \
    && { echo "the check missed duplicate runs"; exit 1; }
expect "duplicate runs" "20 violations" "$found"

start service --deduplicate
run "$address" "$booking" --keys "$dir/keys"
expect_row "once" booking "40 40 0 0 0"
"$load" check --service "$address" --keys "$dir/keys" || exit 1

# The model loaded above exceeds a budget of 0 replicas.
echo '{"models":{"m":{"replicas":{"a":0}}}}' >"$dir/document"
"$load" check --document "$dir/document" --engine "$engine@a" >/dev/null \
    && { echo "the check missed a replica over the budget"; exit 1; }
echo '{"models":{"m":{"replicas":{"a":1}}}}' >"$dir/document"
"$load" check --document "$dir/document" --engine "$engine@a"
