#!/bin/sh
# Runs every test program, script test and process test and prints a summary
# line.  A test listed in KNOWN-RED.txt may fail: it is printed but not counted
# as failed.  A listed test that passes is a failure, so that the list stays
# accurate.
# Usage: BUILD=build sh regress/check.sh [NAME...]

build=${BUILD:-build}
dir=$(dirname "$0")
red=$dir/../KNOWN-RED.txt
passed=0
failed=0
out=$(mktemp -d) || exit 1
trap 'rm -rf "$out"' EXIT

known_red () {
	[ -f "$red" ] && grep -q "^$1\( \|:\|$\)" "$red"
}

report () { # name status log
	if [ "$2" -eq 0 ]; then
		if known_red "$1"; then
			echo "FAIL $1 (listed in KNOWN-RED.txt but passes)"
			failed=$((failed + 1))
		else
			echo "ok   $1"
			passed=$((passed + 1))
		fi
	elif known_red "$1"; then
		echo "RED  $1 (listed in KNOWN-RED.txt)"
	else
		echo "FAIL $1"
		tail -n 40 "$3"
		failed=$((failed + 1))
	fi
}

selected () {
	[ -z "$names" ] && return 0
	for n in $names; do [ "$n" = "$1" ] && return 0; done
	return 1
}

names=$*
for program in "$build"/regress/*_test; do
	[ -x "$program" ] || continue
	name=$(basename "$program")
	selected "$name" || continue
	timeout 300 "$program" >"$out/log" 2>&1
	report "$name" $? "$out/log"
done
# MODULE_script reads regress/MODULE/NAME.in and must print NAME.out.
for script in "$dir"/*/*.in; do
	[ -f "$script" ] || continue
	module=$(basename "$(dirname "$script")")
	name=$module/$(basename "$script" .in)
	selected "$name" || continue
	timeout 300 "$build/regress/${module}_script" <"$script" >"$out/got" \
	    2>"$out/err"
	diff -u "${script%.in}.out" "$out/got" >"$out/log" 2>&1
	status=$?
	[ -s "$out/err" ] && grep -q "ERROR: AddressSanitizer\|runtime error" \
	    "$out/err" && { cat "$out/err" >>"$out/log"; status=1; }
	report "$name" $status "$out/log"
done
# regress/NAME_run.sh test real processes.
for script in "$dir"/*_run.sh; do
	[ -f "$script" ] || continue
	name=$(basename "$script" .sh)
	selected "$name" || continue
	BUILD=$build timeout 600 sh "$script" >"$out/log" 2>&1
	report "$name" $? "$out/log"
done

[ -f "$red" ] && { echo "KNOWN-RED.txt:"; sed 's/^/  /' "$red"; }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
