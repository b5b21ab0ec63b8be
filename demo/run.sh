#!/bin/sh
# Starts a small platform of stand-ins and six instances of cowslipcove in
# three zones, sends a mixed load while an instance and an engine are killed,
# and prints what became of the requests.
# The exit status is 0 only if no request was lost or doubled and the records
# of the stand-ins show no violated guarantee.
# Usage: BUILD=build sh demo/run.sh

set -u
build=${BUILD:-build}
seconds=${DEMO_SECONDS:-20}
port=${DEMO_PORT:-$((20000 + $$ % 100 * 100))}
zones="busan-a busan-b ulsan-c"
load=$build/cowslipload/cowslipload
dir=$(mktemp -d) || exit 1
pids=
status=1

stop_all () {
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	if [ $status -eq 0 ]; then
		rm -rf "$dir"
	else
		echo "logs and settings are kept in $dir"
	fi
}
trap 'stop_all; exit $status' EXIT
trap 'exit 1' INT TERM

fail () { # message
	echo "demo: $1" >&2
	exit 1
}

# The first line of a stand-in says that it listens.
start_standin () { # name program options...
	name=$1
	program=$build/standin-$2
	shift 2
	"$program" "$@" >"$dir/$name.port" 2>"$dir/$name.log" &
	pid=$!
	pids="$pids $pid"
	tries=0
	until [ -s "$dir/$name.port" ]; do
		kill -0 "$pid" 2>/dev/null || {
			cat "$dir/$name.log" >&2
			fail "$name does not start"
		}
		tries=$((tries + 1))
		[ $tries -lt 100 ] || fail "$name does not listen"
		sleep 0.05
	done
}

kv=127.0.0.1:$port
list=127.0.0.1:$((port + 1))
weights=127.0.0.1:$((port + 2))
booking=127.0.0.1:$((port + 3))
lookup=127.0.0.1:$((port + 4))

text_address () { # zone number, engine number
	echo "127.0.0.1:$((port + 10 + $1 * 4 + $2))"
}

instance_address () { # zone number, instance number
	echo "127.0.0.1:$((port + 30 + $1 * 2 + $2))"
}

rpc_address () { # zone number, instance number
	echo "127.0.0.1:$((port + 40 + $1 * 2 + $2))"
}

start_platform () {
	start_standin kv kv -l "$kv"
	start_standin instances instances -l "$list" -t 2000
	start_standin weights weights -l "$weights" -n 6 -b 8000000000
	start_standin booking service -l "$booking"
	start_standin lookup service -l "$lookup"
	z=0
	for zone in $zones; do
		for n in 0 1 2; do
			start_standin "engine-$zone-$n" engine --check-fencing \
			    -l "$(text_address $z $n)" -w "$weights"
			[ "$zone$n" = ulsan-c2 ] && engine_pid=$pid
		done
		start_standin "engine-$zone-3" engine \
		    -l "$(text_address $z 3)" -w "$weights"
		z=$((z + 1))
	done
}

endpoints () { # engine numbers...
	z=0
	sep=
	for zone in $zones; do
		for n in "$@"; do
			printf '%s{"address": "%s", "zone": "%s"}' "$sep" \
			    "$(text_address $z "$n")" "$zone"
			sep=", "
		done
		z=$((z + 1))
	done
}

# One model of the pool: name, pool, bytes, replicas per zone.
model () {
	printf '"%s": {"pool": "%s", "version": "1", "bytes": %s,
	  "adapter_bytes": 1000000000, "class": "counter",
	  "replicas": {"busan-a": %s, "busan-b": %s, "ulsan-c": %s},
	  "keep_alive_min_ms": 2000, "keep_alive_max_ms": 600000}' \
	    "$1" "$2" "$3" "$4" "$4" "$4"
}

write_document () {
	cat <<-END
	{
	  "name": "production",
	  "classes": {
	    "counter": {"deadline_ms": 10000, "first_token_ms": 1000,
	      "between_tokens_ms": 25, "expected_ms": 1000, "priority": 10},
	    "batch": {"deadline_ms": 30000, "expected_ms": 10000, "priority": 1}
	  },
	  "pools": {
	    "text": {"memory_bytes": 80000000000, "batch": 32,
	      "checks_fencing": true, "can_resume": true,
	      "endpoints": [$(endpoints 0 1 2)]},
	    "booking": {"memory_bytes": 80000000000, "batch": 32,
	      "checks_fencing": false, "can_resume": true,
	      "endpoints": [$(endpoints 3)]}
	  },
	  "models": {
	    $(model returns text 8000000000 2),
	    $(for n in 1 2 3 4 5 6 7 8; do
		model "damage-$n" text 16000000000 1; echo ,; done)
	    $(model slots booking 8000000000 1)
	  },
	  "adapters": {
	    "shop-1": {"model": "returns", "version": "1", "bytes": 50000000},
	    "shop-2": {"model": "returns", "version": "1", "bytes": 50000000}
	  },
	  "services": {
	    "booking": {"class": "counter", "repeatable": false,
	      "deduplicates": false,
	      "endpoints": [{"address": "$booking", "zone": "busan-a"}]},
	    "lookup": {"class": "counter", "repeatable": true,
	      "deduplicates": false,
	      "endpoints": [{"address": "$lookup", "zone": "busan-b"}]}
	  },
	  "limits": {"waiting_max": 2000, "retry_percent": 5,
	    "adapter_loads_max": 32, "weight_loads_max": 4}
	}
	END
}

write_settings () { # zone, zone number, instance number
	cat <<-END
	{
	  "instance": "$1-$3", "member_number": $(($3 + 1)),
	  "zone": "$1", "region": "kr-south", "environment": "production",
	  "http_address": "$(instance_address "$2" "$3")",
	  "rpc_address": "$(rpc_address "$2" "$3")",
	  "kv_address": "$kv", "instance_list_address": "$list",
	  "peers": ["$(rpc_address "$2" $((1 - $3)))"],
	  "peer_key_file": "peer.key", "operator_token_file": "operator.token",
	  "body_max_bytes": 4194304, "drain_max_ms": 10000, "log_level": 6
	}
	END
}

write_instance_list () { # address that is gone, or nothing
	printf '{"instances": ['
	sep=
	z=0
	for zone in $zones; do
		for n in 0 1 2 3; do
			address=$(text_address $z $n)
			[ "$address" = "${1-}" ] && continue
			printf '%s{"address": "%s", "zone": "%s",
			  "state": "live"}' "$sep" "$address" "$zone"
			sep=", "
		done
		z=$((z + 1))
	done
	printf '%s{"address": "%s", "zone": "busan-a", "state": "live"}' \
	    "$sep" "$booking"
	printf ', {"address": "%s", "zone": "busan-b", "state": "live"}' \
	    "$lookup"
	printf ']}\n'
}

write_experiment () {
	cat <<-END
	{
	  "seed": ${DEMO_SEED:-1}, "duration_s": $seconds, "resend": true,
	  "arrival": {"kind": "swing", "rate": 15, "factor": 4, "at_s": 5,
	    "rise_s": 3, "hold_s": 3},
	  "mix": [
	    {"name": "returns", "class": "counter", "kind": "chat", "weight": 6,
	      "models": ["returns", "shop-1", "shop-2"], "skew": 1,
	      "prefixes": 4, "deadline_ms": 10000},
	    {"name": "damage", "class": "counter", "kind": "completion",
	      "weight": 3, "skew": 1, "stream": false, "deadline_ms": 10000,
	      "models": ["damage-1", "damage-2", "damage-3", "damage-4",
	        "damage-5", "damage-6", "damage-7", "damage-8"]},
	    {"name": "slots", "class": "batch", "kind": "completion",
	      "weight": 1, "models": ["slots"], "long_percent": 2,
	      "long_factor": 20, "tokens_min": 8, "tokens_max": 16,
	      "deadline_ms": 30000},
	    {"name": "booking", "kind": "service", "weight": 2, "key": true,
	      "repeat_percent": 10, "services": ["booking"], "path": "/book",
	      "deadline_ms": 10000},
	    {"name": "lookup", "kind": "service", "weight": 2, "method": "GET",
	      "services": ["lookup"], "path": "/status", "deadline_ms": 10000}
	  ]
	}
	END
}

start_instances () {
	head -c 48 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/peer.key"
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/operator.token"
	z=0
	for zone in $zones; do
		for n in 0 1; do
			write_settings "$zone" $z $n >"$dir/$zone-$n.json"
			"$build/cowslipcoved/cowslipcoved" \
			    "$dir/$zone-$n.json" 2>"$dir/$zone-$n.log" &
			pids="$pids $!"
			[ "$zone$n" = busan-b1 ] && instance_pid=$!
			targets="$targets -t $(instance_address $z $n)"
		done
		z=$((z + 1))
	done
}

wait_ready () {
	for target in $targets; do
		[ "$target" = -t ] && continue
		"$load" call -w 30 GET "$target" /readyz >/dev/null \
		    || fail "$target is not ready"
	done
}

engine_pid=
instance_pid=
targets=
killed_engine=$(text_address 2 2)

start_platform
write_document >"$dir/production.json"
write_experiment >"$dir/experiment.json"
"$load" call POST "$list" /set "$(write_instance_list)" >/dev/null || exit 1
start_instances
first=$(instance_address 0 0)
"$load" call -w 10 GET "$first" /livez >/dev/null || fail "no instance answers"
"$build/cowslipctl/cowslipctl" -s "$first" -t "$dir/operator.token" \
    apply "$dir/production.json" || fail "the document was not applied"
wait_ready

echo "sending requests for $seconds s"
# shellcheck disable=SC2086
"$load" $targets --keys "$dir/keys" "$dir/experiment.json" \
    >"$dir/report" 2>"$dir/load.log" &
load_pid=$!
pids="$pids $load_pid"
sleep $((seconds / 3))
echo "killing an instance of busan-b"
kill -9 "$instance_pid"
sleep $((seconds / 5))
echo "killing an engine of ulsan-c"
kill -9 "$engine_pid"
"$load" call POST "$list" /set "$(write_instance_list "$killed_engine")" \
    >/dev/null
wait "$load_pid"
status=$?
cat "$dir/report"
"$load" check --document "$dir/production.json" --kv "$kv" \
    --gone "$killed_engine" --keys "$dir/keys" || status=1
[ $status -eq 0 ] || echo "demo: requests were lost or guarantees violated"
exit $status
