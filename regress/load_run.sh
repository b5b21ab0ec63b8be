#!/bin/sh
# Guards against a load tool that overlooks lost, doubled or wrong answers, and
# against a check of the records that does.

. "$(dirname "$0")/standins.sh"

run () { # address experiment's mix options...
	target=$1
	mix=$2
	shift 2
	echo "{\"duration_s\":1,\"arrival\":{\"kind\":\"burst\",\"burst\":10,
	  \"every_ms\":500},\"mix\":[$mix]}" >"$dir/experiment"
	"$load" -t "$target" "$@" "$dir/experiment" >"$dir/report" 2>&1
	status=$?
}

expect_row () { # what class, counts up to wrong
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
expect_row "all whole" chat "20 20 0 0 0"
[ $status -eq 0 ] || { echo "status $status of a sound run"; exit 1; }

# Every stream is cut, and without --resend the answer is lost.
call "$engine" /fault '{"cut_after_tokens":1}' >/dev/null
run "$engine" "$chat"
expect_row "lost" chat "20 0 20 0 0"
[ $status -ne 0 ] || { echo "lost answers were not noticed"; exit 1; }
call "$engine" /fault '{"cut_after_tokens":0}' >/dev/null

# A service that runs a repeated call again is found by its answers and by the
# records; one that keeps the first answer is not.
booking='{"name":"booking","kind":"service","services":["s"],"key":true,
  "repeat_percent":100}'
start service
run "$address" "$booking" --keys "$dir/keys"
expect_row "doubled" booking "40 20 0 20 0"
[ $status -ne 0 ] || { echo "doubled answers were not noticed"; exit 1; }
found=$("$load" check --service "$address" --keys "$dir/keys") \
    && { echo "the check missed doubled runs"; exit 1; }
expect "doubled runs" "20 violations" "$found"

start service --deduplicate
run "$address" "$booking" --keys "$dir/keys"
expect_row "once" booking "40 40 0 0 0"
"$load" check --service "$address" --keys "$dir/keys" || exit 1

# A budget of 0 replicas was exceeded by the load above.
echo '{"models":{"m":{"replicas":{"a":0}}}}' >"$dir/document"
"$load" check --document "$dir/document" --engine "$engine@a" >/dev/null \
    && { echo "the check missed a replica"; exit 1; }
echo '{"models":{"m":{"replicas":{"a":1}}}}' >"$dir/document"
"$load" check --document "$dir/document" --engine "$engine@a"
