#!/bin/sh
# Guards against guarantees that hold in unit tests but not between real
# processes.  Under a mixed load it kills, pauses and stops instances, crashes
# engines, injects faults into the key-value service and disconnects a zone, in
# an order drawn from a seed.  After a violation the exit status is not 0, and
# the seed and the log of faults are printed.  LONG=1 runs for about five
# minutes.
# Usage: BUILD=build sh regress/fault_run.sh [SEED]

set -u
name=fault_run
build=${BUILD:-build}
seed=${1:-1}
rounds=1
long=0
[ -n "${LONG-}" ] && rounds=${FAULT_ROUNDS:-6} && long=1
instances_of_0="0 1 2"
instances_of_1="0 1 2"
instances_of_2="0 1"
batch_deadline_ms=10000
drain_notice_ms=1500
drain_max_ms=15000
marker=crash-marker
engine_options="--crash-on $marker"
here=$(dirname "$0")
dir=$(mktemp -d) || exit 1
# shellcheck source=regress/cluster.sh
. "$here/cluster.sh"
# shellcheck source=regress/fault_actions.sh
. "$here/fault_actions.sh"
# shellcheck source=regress/fault_checks.sh
. "$here/fault_checks.sh"
trap 'rm -f "$dir/polling"; stop_all; exit $status' EXIT
trap 'exit 1' INT TERM

# Addresses of the relay of a zone.
relay_admin () { echo "127.0.0.1:$((port + 5 + $1))"; }
relay_kv () { echo "127.0.0.1:$((port + 50 + $1))"; }
relay_list () { echo "127.0.0.1:$((port + 60 + $1))"; }

models=
for r in $(seq $rounds); do models="$models probe-$r victim-$r"; done
chosen=
killed=
paused=
holder=
stopping=
loading_zone=
loading_model=
leaving_zone=
leaving_engine=
reporting=
sign_ms=
seconds=$((rounds * (long * 46 + (1 - long) * 36) - 2))
started_ms=$(now_ms)
: >"$dir/violations"
: >"$dir/polling"

awk -v seed="$seed" -v rounds=$rounds -v long=$long \
    -f "$here/fault_schedule.awk" | sort -n -s -k1,1 >"$dir/schedule"
start_platform -n 12 -b 8000000000 -c 12
weight_loads_max=12
write_document "$models" 2000 >"$dir/production.json"
write_experiment "$seed" $seconds '{"kind": "poisson", "rate": 15}' 25000 \
    >"$dir/experiment.json"
write_keys
for z in 0 1 2; do
	start_standin "relay-$z" relay -l "$(relay_admin $z)" \
	    -f "$(relay_kv $z)=$kv" -f "$(relay_list $z)=$list"
	for n in $(instances_of $z); do
		write_settings $z "$n" "$(relay_kv $z)" "$(relay_list $z)" \
		    >"$dir/$(zone_name $z)-$n.json"
	done
done
platform=$(cat "$dir/platform")
start_instances
apply_first "$dir/production.json"
wait_placed
poll_generations &
pids="$pids $!"

started_ms=$(now_ms)
# shellcheck disable=SC2086
"$load" $targets --follow-ready --keys "$dir/keys" --not-run "$dir/not_run" \
    --broken "$dir/broken" "$dir/experiment.json" >"$dir/report" \
    2>"$dir/load.log" &
load_pid=$!
pids="$pids $load_pid"
while read -r due action arguments; do
	while [ $(($(now_ms) - started_ms)) -lt "$due" ]; do
		watch_stopping
		watch_engines
		watch_loading
		watch_sign
		watch_platform
		sleep 0.05
	done
	[ "$action" = end ] && break
	# shellcheck disable=SC2086
	"do_$action" $arguments
done <"$dir/schedule"

while is_running "$load_pid" || [ -n "$stopping" ]; do
	watch_stopping
	watch_engines
	sleep 0.05
done
wait "$load_pid" || violation "the load tool counted lost, duplicate or wrong responses"
check_in_force
rm -f "$dir/polling"
check_generations
check_stops
check_operators
check_crashes
check_sanitizers
# shellcheck disable=SC2046
"$load" check --budgets "$dir/production.json" $(record_options) \
    --keys "$dir/keys" --not-run "$dir/not_run" >"$dir/check" 2>&1 \
    || echo "the records of the stand-ins show violations" >>"$dir/violations"
status=0
if [ -s "$dir/violations" ]; then
	status=1
	echo "seed $seed, faults:"
	cat "$dir/faults"
	cat "$dir/violations"
fi
cat "$dir/report" "$dir/check"
exit $status
