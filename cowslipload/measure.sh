#!/bin/sh
# Compares cowslipcove with the baseline policy at the scale of a deployment.
# Each policy runs on newly started stand-ins, with the same seeds and arrivals.
# Writes one CSV file per measure (policy,metric,value) to the output directory.
# Usage: BUILD=build sh cowslipload/measure.sh DEPLOYMENT OUTPUT [MEASURE...]
#   DEPLOYMENT: haneul or maison
#   MEASURE: cold swing long slow outage (default: all)
# MEASURE_POLICIES=ours measures one policy only.
# A measure takes at most 60 s per policy, and 40 processes.

set -u
build=${BUILD:-build}
seed=${MEASURE_SEED:-1}
# Keep-alive, scaled down from 10 minutes because a run lasts tens of seconds.
keep_ms=${MEASURE_KEEP_MS:-10000}
base=${MEASURE_PORT:-$((20000 + $$ % 100 * 100))}
deployment=$1
out=$2
shift 2
measures=${*:-cold swing long slow outage}
load=$build/cowslipload/cowslipload
dir=$(mktemp -d) || exit 1
pids=

stop_all () {
	for pid in $pids; do kill -CONT "$pid" 2>/dev/null; done
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	pids=
}
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

fail () { # message
	echo "measure: $1" >&2
	exit 1
}

case $deployment in
haneul)
	zones="busan-a busan-b ulsan-c"
	text_engines=3 text_models=47 booking_models=3 loads=3 factor=1 ;;
maison)
	zones="port-louis grand-baie curepipe"
	text_engines=6 text_models=96 booking_models=4 loads=4.5 factor=2 ;;
*) fail "unknown deployment $deployment" ;;
esac

kv=127.0.4.1:$base
list=127.0.4.1:$((base + 1))
weights=127.0.4.1:$((base + 2))
engine_address () { echo "127.0.5.$(($1 + 1)):$((base + $2))"; } # zone, engine
instance_address () { echo "127.0.6.1:$((base + $1))"; } # number
rpc_address () { echo "127.0.7.1:$((base + $1))"; } # number

start_standin () { # program options...
	program=$build/standin-$1
	shift
	"$program" "$@" >"$dir/port" 2>>"$dir/standins.log" &
	pid=$!
	pids="$pids $pid"
	tries=0
	until [ -s "$dir/port" ]; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || fail "$program did not start"
		sleep 0.02
	done
	: >"$dir/port"
}

start_platform () { # batch, report lag
	start_standin kv -l "$kv"
	start_standin instances -l "$list" -t 2000
	start_standin weights -l "$weights" -n "$loads" -b 12000000000
	z=0
	engines=
	for zone in $zones; do
		n=0
		while [ $n -le "$text_engines" ]; do
			start_standin engine --check-fencing \
			    --remote-rate 12000000000 --disk-rate 16000000000 --batch "$1" --report-lag-ms "$2" -w "$weights" \
			    --seed $((seed + n + 10 * z)) -l "$(engine_address $z $n)"
			echo "$pid" >"$dir/engine-$z-$n.pid"
			engines="$engines $(engine_address $z $n)"
			n=$((n + 1))
		done
		z=$((z + 1))
	done
	"$load" call POST "$list" /set "$(write_list)" >/dev/null \
	    || fail "cannot set the instance list"
}

write_list () {
	sep='{"instances": ['
	z=0
	for zone in $zones; do
		n=0
		while [ $n -le "$text_engines" ]; do
			printf '%s{"address": "%s", "zone": "%s", "state": "live"}' \
			    "$sep" "$(engine_address $z $n)" "$zone"
			sep=', '
			n=$((n + 1))
		done
		z=$((z + 1))
	done
	printf ']}\n'
}

endpoints () { # first and last engine of each zone
	sep=
	z=0
	for zone in $zones; do
		n=$1
		while [ $n -le "$2" ]; do
			printf '%s{"address": "%s", "zone": "%s"}' "$sep" \
			    "$(engine_address $z $n)" "$zone"
			sep=', '
			n=$((n + 1))
		done
		z=$((z + 1))
	done
}

budget () { # replicas per zone
	sep='{'
	for zone in $zones; do
		printf '%s"%s": %s' "$sep" "$zone" "$1"
		sep=', '
	done
	printf '}'
}

models () { # prefix, count, pool, replicas
	n=1
	while [ $n -le "$2" ]; do
		printf '"%s%s": {"pool": "%s", "version": "1",
		  "bytes": 16000000000, "adapter_bytes": 1000000000,
		  "class": "counter", "replicas": %s,
		  "keep_alive_min_ms": 1000, "keep_alive_max_ms": %s}%s\n' \
		    "$1" $n "$3" "$(budget "$4")" "$keep_ms" "$5"
		n=$((n + 1))
	done
}

write_document () { # batch, text models, replicas
	cat <<-END
	{"name": "production",
	 "classes": {
	  "counter": {"deadline_ms": 4000, "expected_ms": 1000, "priority": 10},
	  "patient": {"deadline_ms": 10000, "expected_ms": 1000, "priority": 5},
	  "mixed": {"deadline_ms": 20000, "expected_ms": 400, "priority": 5},
	  "batch": {"deadline_ms": 20000, "expected_ms": 5000, "priority": 1}},
	 "pools": {
	  "text": {"memory_bytes": 80000000000, "batch": $1,
	   "checks_fencing": true, "can_resume": true,
	   "endpoints": [$(endpoints 0 $((text_engines - 1)))]},
	  "booking": {"memory_bytes": 80000000000, "batch": $1,
	   "checks_fencing": true, "can_resume": true,
	   "endpoints": [$(endpoints "$text_engines" "$text_engines")]}},
	 "models": {
	  $(models text "$2" text "$3" ,)
	  $(models book "$booking_models" booking 1 , | sed '$s/,$//')
	 },
	 "limits": {"waiting_max": 2000, "retry_percent": 5,
	  "adapter_loads_max": 32, "weight_loads_max": 4}}
	END
}

names () { # prefix, count
	sep=
	n=1
	while [ $n -le "$2" ]; do
		printf '%s"%s%s"' "$sep" "$1" $n
		sep=', '
		n=$((n + 1))
	done
}

start_ours () {
	head -c 64 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/key"
	i=0
	for zone in $zones; do
		for member in 1 2; do
			peer=$((i / 2 * 2 + 2 - member))
			cat >"$dir/i$i.json" <<-END
			{"instance": "$zone-$member", "member_number": $member,
			 "zone": "$zone", "region": "r",
			 "environment": "production",
			 "http_address": "$(instance_address $i)",
			 "rpc_address": "$(rpc_address $i)",
			 "kv_address": "$kv", "instance_list_address": "$list",
			 "peers": ["$(rpc_address $peer)"],
			 "peer_key_file": "key", "operator_token_file": "key",
			 "log_level": 6}
			END
			"$build/cowslipcoved/cowslipcoved" "$dir/i$i.json" \
			    2>"$dir/i$i.log" &
			pids="$pids $!"
			i=$((i + 1))
		done
	done
	i=0
	while [ $i -lt 6 ]; do
		"$load" call -w 10 GET "$(instance_address $i)" /livez >/dev/null \
		    || fail "instance $i does not respond"
		i=$((i + 1))
	done
	# Ignore the status: start_policy waits until each instance is ready, that is,
	# has the document in force.
	"$build/cowslipctl/cowslipctl" -s "$(instance_address 0)" -t "$dir/key" \
	    apply "$dir/document" >"$dir/apply" 2>&1
	# Engines accept orders only after the controller's lease is certain to be
	# valid.
	sleep 8
}

start_baseline () {
	"$load" baseline -l "$(instance_address 0)" -n 6 -k "$keep_ms" \
	    -s "$seed" "$dir/document" 2>"$dir/baseline.log" &
	pids="$pids $!"
}

start_policy () { # policy, batch, report lag, text models, replicas
	start_platform "$2" "$3"
	write_document "$2" "$4" "$5" >"$dir/document"
	"start_$1"
	targets=
	i=0
	while [ $i -lt 6 ]; do
		"$load" call -w 20 GET "$(instance_address $i)" /readyz \
		    >/dev/null || fail "instance $i is not ready"
		targets="$targets -t $(instance_address $i)"
		i=$((i + 1))
	done
}

send () { # trace, experiment
	printf '%s\n' "$2" >"$dir/experiment"
	# shellcheck disable=SC2086
	"$load" $targets -s "$seed" --trace "$dir/$1" "$dir/experiment" \
	    >"$dir/report-$1" 2>&1
}

# Loads the models before a measure that does not include cold starts.
warm () { # names of models, seconds, additional keys of the mix entry
	send warm "{\"duration_s\": ${2:-6}, \"arrival\": {\"kind\": \"poisson\",
	  \"rate\": $((20 * factor))}, \"mix\": [
	  $(mix warm patient "$1" 1 10000 "${3-}")]}"
}

# Prints the sums of the counters of the cowslipcove instances.
counters () { # policy
	[ "$1" = ours ] || return 0
	i=0
	while [ $i -lt 6 ]; do
		"$load" call GET "$(instance_address $i)" /metrics
		i=$((i + 1))
	done | awk -v p="$1" '/^cowslip_/ { s[$1] += $2 }
	    END { for (k in s) if (s[k] > 0) printf "%s,%s,%.0f\n", p, k, s[k] }' |
	    grep -E 'retries|refus|eject|hedge|loads' | sort
}

finish () { # policy, trace, options of figures...
	policy=$1
	trace=$2
	shift 2
	files=
	for engine in $engines; do
		"$load" call GET "$engine" /records >"$dir/records-$engine" \
		    || fail "cannot read the records of $engine"
		files="$files $dir/records-$engine"
	done
	# shellcheck disable=SC2086
	"$load" figures -l "$policy" -t "$dir/$trace" "$@" $files \
	    || fail "cannot compute the metrics"
	counters "$policy"
	if [ -n "${MEASURE_KEEP-}" ]; then
		mkdir -p "$MEASURE_KEEP/$measure-$policy"
		cp "$dir"/* "$MEASURE_KEEP/$measure-$policy"
	fi
	stop_all
}

mix () { # name, class, models, weight, deadline, additional keys
	printf '{"name": "%s", "class": "%s", "kind": "completion", "models": [%s],
	  "weight": %s, "deadline_ms": %s%s}' "$1" "$2" "$3" "$4" "$5" "${6-}"
}

# Prints the lines of a replay file, milliseconds and a name: bursts of 12
# requests for one model within 200 ms, on average two bursts in 3 s times the
# load factor.  The popularity of model N is proportional to 1 / N.
bursts () { # seconds
	awk -v seed="$seed" -v seconds="$1" -v models="$text_models" \
	    -v rate="$factor" 'BEGIN {
		srand(seed)
		for (i = 1; i <= models; i++)
			total += 1 / i
		for (ms = 0; ms < seconds * 1000; ms -= 1500 / rate * log(1 - rand())) {
			left = rand() * total
			for (m = 1; m < models && (left -= 1 / m) > 0; m++)
				;
			for (i = 0; i < 12; i++)
				printf "%.1f,text%d\n", ms + 200 * rand(), m
		}
	}'
}

model_mixes () {
	n=1
	sep=
	while [ $n -le "$text_models" ]; do
		printf '%s' "$sep"
		mix text$n patient "\"text$n\"" 1 10000
		sep=,
		n=$((n + 1))
	done
}

# Cold starts and idle time: most models are idle, and first requests arrive in
# bursts at many routers.
measure_cold () { # policy
	start_policy "$1" 32 500 "$text_models" 1
	bursts 50 >"$dir/replay"
	send trace "{\"duration_s\": 50, \"arrival\": {\"kind\": \"replay\",
	  \"file\": \"$dir/replay\"}, \"mix\": [$(model_mixes)]}"
	finish "$1" trace
}

# A tenfold increase of the load within 5 s, beyond the capacity of the engines.
measure_swing () { # policy
	start_policy "$1" 8 500 "$text_models" 1
	warm "$(names text "$text_models"), $(names book "$booking_models")" \
	    12 ', "skew": 1'
	send trace "{\"duration_s\": 28, \"arrival\": {\"kind\": \"swing\",
	  \"rate\": $((26 * factor)), \"factor\": 10, \"at_s\": 8,
	  \"rise_s\": 5, \"hold_s\": 8}, \"mix\": [
	  $(mix text counter "$(names text "$text_models")" 6 4000 ', "skew": 1'),
	  $(mix bulk batch "$(names text "$text_models")" 3 20000 ', "skew": 1'),
	  $(mix book counter "$(names book "$booking_models")" 1 4000)]}"
	finish "$1" trace -f 13 -u 21
}

# One request in 50 runs 50 times longer.
measure_long () { # policy
	start_policy "$1" 8 500 6 2
	warm "$(names text 6)"
	send trace "{\"duration_s\": 25, \"arrival\": {\"kind\": \"poisson\",
	  \"rate\": $((200 * factor))}, \"mix\": [
	  $(mix work mixed "$(names text 6)" 1 20000 ', "long_percent": 2,
	  "long_factor": 50, "tokens_min": 4, "tokens_max": 8')]}"
	finish "$1" trace -f 2 -u 25
}

steady () { # seconds
	echo "{\"duration_s\": $1, \"resend\": true, \"arrival\":
	  {\"kind\": \"poisson\", \"rate\": $((60 * factor))}, \"mix\": [
	  $(mix work patient "$(names text 6)" 1 10000)]}"
}

# Two engines become five times slower; load reports show it 5 s late.
measure_slow () { # policy
	start_policy "$1" 32 5000 6 2
	warm "$(names text 6)"
	send trace "$(steady 22)"
	finish "$1" trace -f 6 -u 22 | sed "s/^$1,/$1-even,/"
	stop_all
	start_policy "$1" 32 5000 6 2
	warm "$(names text 6)"
	for engine in "$(engine_address 0 0)" "$(engine_address 1 0)"; do
		(sleep 5; "$load" call POST "$engine" /fault \
		    '{"slow_factor": 5}' >/dev/null) &
		pids="$pids $!"
	done
	send trace "$(steady 22)"
	finish "$1" trace -f 6 -u 22
}

# Two engines do not respond for 10 s.
measure_outage () { # policy
	start_policy "$1" 32 500 6 2
	warm "$(names text 6)"
	stopped="$(cat "$dir/engine-0-0.pid") $(cat "$dir/engine-1-0.pid")"
	# shellcheck disable=SC2086
	(sleep 6; kill -STOP $stopped; sleep 10; kill -CONT $stopped) &
	pids="$pids $!"
	send trace "$(steady 28)"
	finish "$1" trace -f 6 -u 28
}

mkdir -p "$out"
for measure in $measures; do
	csv=$out/$deployment-$measure.csv
	echo "policy,metric,value" >"$csv"
	for policy in ${MEASURE_POLICIES:-ours baseline}; do
		"measure_$measure" $policy >>"$csv" || fail "$measure $policy"
	done
	echo "$csv"
done
