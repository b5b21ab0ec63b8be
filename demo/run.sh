#!/bin/sh
# Starts stand-ins for the platform services and six instances of cowslipcove in
# three zones, sends a mixed workload, kills an instance and an engine during
# it, and prints the report of the load generator.
# The exit status is 0 only if no request was lost or executed twice and the
# records of the stand-ins show no violation of a guarantee.
# Usage: BUILD=build sh demo/run.sh

set -u
name=demo
build=${BUILD:-build}
seconds=${DEMO_SECONDS:-20}
instances_of_0="0 1"
instances_of_1="0 1"
instances_of_2="0 1"
dir=$(mktemp -d) || exit 1
# shellcheck source=regress/cluster.sh
. "$(dirname "$0")/../regress/cluster.sh"
trap 'stop_all; exit $status' EXIT
trap 'exit 1' INT TERM

killed_engine=$(engine_address 2 2)
swing='{"kind": "swing", "rate": 15, "factor": 4, "at_s": 5, "rise_s": 3,
  "hold_s": 3}'

start_platform -n 6 -b 8000000000
write_document "" 2000 >"$dir/production.json"
write_experiment "${DEMO_SEED:-1}" "$seconds" "$swing" 10000 \
    >"$dir/experiment.json"
write_keys
for z in 0 1 2; do
	for n in $(instances_of $z); do
		write_settings $z "$n" "$kv" "$list" \
		    >"$dir/$(zone_name $z)-$n.json"
	done
done
start_instances
apply_first "$dir/production.json"

echo "sending requests for $seconds s"
# shellcheck disable=SC2086
"$load" $targets --keys "$dir/keys" --not-run "$dir/not_run" \
    "$dir/experiment.json" >"$dir/report" 2>"$dir/load.log" &
load_pid=$!
pids="$pids $load_pid"
sleep $((seconds / 3))
echo "killing an instance of busan-b"
kill -9 "$(pid_of instance 1 1)"
sleep $((seconds / 5))
echo "killing an engine of ulsan-c"
engine_pid=$(pid_of engine 2 2)
kill -9 "$engine_pid"
wait "$engine_pid" 2>/dev/null
record_end 2 2
"$load" call POST "$list" /set "$(write_instance_list "$killed_engine" gone)" \
    >/dev/null
wait "$load_pid"
status=$?
cat "$dir/report"
# shellcheck disable=SC2046
"$load" check --budgets "$dir/production.json" $(record_options) \
    --keys "$dir/keys" --not-run "$dir/not_run" || status=1
[ $status -eq 0 ] || echo "demo: requests were lost or guarantees violated"
exit $status
