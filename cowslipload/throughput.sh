#!/bin/sh
# Measures one instance: the latency that it adds to streams, compared with
# direct calls of the engine stand-ins, and its CPU and memory use at several
# rates of short requests.
# Usage: BUILD=build sh cowslipload/throughput.sh
# Takes about a minute and at most 20 processes.

set -u
build=${BUILD:-build}
port=${THROUGHPUT_PORT:-4000}
load=$build/cowslipload/cowslipload
dir=$(mktemp -d) || exit 1
pids=

stop_all () {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

kv=127.0.5.1:$port
weights=127.0.5.1:$((port + 1))
http=127.0.5.1:$((port + 2))
engines="0 1 2 3 4 5 6 7"
services="0 1 2 3"
engine () { echo "127.0.5.2:$((port + $1))"; }
service () { echo "127.0.5.3:$((port + $1))"; }

start () { # program options...
	"$@" >/dev/null 2>>"$dir/log" &
	pids="$pids $!"
}

endpoints () { # function, numbers...
	f=$1; shift; sep=
	for n in "$@"; do
		printf '%s{"address": "%s", "zone": "za"}' "$sep" "$($f "$n")"
		sep=,
	done
}

start "$build/standin-kv" -l "$kv"
start "$build/standin-weights" -l "$weights"
for n in $engines; do
	start "$build/standin-engine" --check-fencing -l "$(engine $n)" \
	    -w "$weights" --batch 32
done
for n in $services; do start "$build/standin-service" -l "$(service $n)"; done
head -c 64 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/key"
cat >"$dir/settings" <<END
{"instance": "i", "member_number": 1, "zone": "za", "region": "r",
 "environment": "production", "http_address": "$http",
 "rpc_address": "127.0.5.1:$((port + 3))", "kv_address": "$kv",
 "peer_key_file": "key", "operator_token_file": "key", "log_level": 4}
END
# shellcheck disable=SC2086
cat >"$dir/document" <<END
{"name": "throughput", "classes": {"c": {"deadline_ms": 20000}},
 "pools": {"p": {"memory_bytes": 80000000000, "batch": 32,
   "checks_fencing": true, "endpoints": [$(endpoints engine $engines)]}},
 "models": {"m": {"pool": "p", "version": "1", "class": "c",
   "bytes": 1000000000, "replicas": {"za": 8},
   "keep_alive_min_ms": 600000}},
 "services": {"s": {"class": "c", "repeatable": true,
   "endpoints": [$(endpoints service $services)]}}}
END
"$load" call -w 10 GET "$kv" /records >/dev/null || exit 1
"$build/cowslipcoved/cowslipcoved" "$dir/settings" 2>>"$dir/log" &
instance=$!
pids="$pids $instance"
"$load" call -w 10 GET "$http" /livez >/dev/null || exit 1
"$build/cowslipctl/cowslipctl" -s "$http" -t "$dir/key" apply \
    "$dir/document" || exit 1

streams () { # seconds, targets...
	seconds=$1; shift
	printf '{"seed": 1, "duration_s": %s, "arrival": {"kind": "poisson",
	  "rate": 190}, "mix": [{"name": "m", "class": "c", "weight": 1,
	  "kind": "completion", "models": ["m"], "tokens_min": 50,
	  "tokens_max": 50, "deadline_ms": 20000}]}' "$seconds" >"$dir/streams"
	"$load" "$@" "$dir/streams"
}

short () { # seconds, rate, path, targets...
	seconds=$1; rate=$2; path=$3; shift 3
	printf '{"seed": 1, "duration_s": %s, "arrival": {"kind": "poisson",
	  "rate": %s}, "mix": [{"name": "s", "class": "c", "weight": 1,
	  "kind": "service", "services": ["s"], "method": "GET",
	  "path": "%s", "deadline_ms": 5000}]}' "$seconds" "$rate" "$path" \
	    >"$dir/short"
	"$load" "$@" "$dir/short"
}

cpu () { cut -d' ' -f1 "/proc/$instance/schedstat"; }
rss () { awk '/^VmRSS:/ { print $2 }' "/proc/$instance/status"; }

direct=
for n in $engines; do direct="$direct -t $(engine $n)"; done
echo "warm-up"
streams 12 -t "$http" >"$dir/warm" 2>&1
echo "about 200 streams of 50 tokens/s through the instance"
before=$(cpu); t=$(date +%s%N)
streams 10 -t "$http" 2>/dev/null
echo "cpu percent of a core: $(( ($(cpu) - before) * 100 / ($(date +%s%N) - t) ))"
echo "the same streams sent directly to the engines"
# shellcheck disable=SC2086
streams 10 $direct 2>/dev/null
for rate in 1000 2000 3000; do
	echo "short requests from two load tools at $rate/s each"
	memory=$(rss); before=$(cpu); t=$(date +%s%N)
	short 8 $rate /x -t "$http" >"$dir/a" 2>/dev/null &
	one=$!
	sleep 0.1
	(dir=$dir/b; mkdir "$dir" 2>/dev/null; short 8 $rate /x -t "$http") \
	    >"$dir/second" 2>/dev/null &
	two=$!
	wait $one $two
	echo "cpu percent of a core: $(( ($(cpu) - before) * 100 / ($(date +%s%N) - t) ))"
	echo "resident KB before and after: $memory $(rss)"
	cat "$dir/a" "$dir/second"
done
