#!/bin/sh
# Measures the control cost per instance of one availability zone, without
# callers' traffic by default, for several numbers of instances, engines and
# models.
# Prints one CSV line per run and instance to standard output:
#   instances,engines,models,role,cpu_percent,rss_kb,rpc_out,rpc_in,http_out,
#   http_in,kv_calls_s,kv_txn_s
# rpc_* and http_* are in bytes per second, kv_* in calls per second.
# Usage: BUILD=build sh cowslipload/capacity.sh >capacity.csv
#        cowslipload slopes capacity.csv
# A run takes about 20 s, at most 240 processes and 2 GB of memory.

set -u
build=${BUILD:-build}
window=${CAPACITY_SECONDS:-8}
settle=${CAPACITY_SETTLE:-4}
rate=${CAPACITY_RATE:-0} # callers' requests per second, to load models
warm=${CAPACITY_WARM:-20} # warm-up under load, in seconds
port=${CAPACITY_PORT:-5000}
dir=$(mktemp -d) || exit 1
pids=

stop_all () {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	pids=
}
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

call=$build/cowslipload/cowslipload

engine_address () { echo "127.0.1.1:$((port + $1))"; }
http_address () { echo "127.0.2.1:$((port + $1))"; }
rpc_address () { echo "127.0.3.1:$((port + $1))"; }

write_document () { # engines, models
	printf '{"name": "capacity", "classes": {"c": {"deadline_ms": 60000}},\n'
	printf '"pools": {"p": {"memory_bytes": 80000000000,'
	printf ' "checks_fencing": true, "endpoints": ['
	i=0
	while [ $i -lt "$1" ]; do
		[ $i -gt 0 ] && printf ','
		printf '\n{"address": "%s", "zone": "za"}' "$(engine_address $i)"
		i=$((i + 1))
	done
	printf ']}},\n"models": {'
	i=0
	while [ $i -lt "$2" ]; do
		[ $i -gt 0 ] && printf ','
		printf '\n"m%s": {"pool": "p", "version": "1", "class": "c",' $i
		printf ' "bytes": 1000000000, "replicas": {"za": 2}}'
		i=$((i + 1))
	done
	printf '}}\n'
}

write_settings () { # number
	cat <<-END
	{"instance": "i$1", "member_number": $(($1 + 1)), "zone": "za",
	 "region": "r", "environment": "production",
	 "http_address": "$(http_address "$1")",
	 "rpc_address": "$(rpc_address "$1")", "kv_address": "$kv",
	 "peers": ["$(rpc_address 0)"], "peer_key_file": "key",
	 "operator_token_file": "key", "log_level": 5}
	END
}

metric () { # address, name
	"$call" call GET "$1" /metrics | sed -n "s/^cowslip_$2 //p"
}

# Prints the CPU time (ns), the resident set size (KB) and the bytes sent and
# received of one instance.
sample () { # number
	pid=$(cat "$dir/i$1.pid")
	cpu=$(cut -d' ' -f1 "/proc/$pid/schedstat")
	rss=$(awk '/^VmRSS:/ { print $2 }' "/proc/$pid/status")
	"$call" call GET "$(http_address "$1")" /metrics >"$dir/metrics"
	echo "$cpu $rss $(for name in rpc_sent_bytes rpc_received_bytes \
	    http_client_sent_bytes http_client_received_bytes; do
		sed -n "s/^cowslip_$name //p" "$dir/metrics"; done | tr '\n' ' ')"
}

# Prints the number of calls to the key-value service and of transactions
# among them.
kv_counts () {
	"$call" call GET "$kv" /records |
	    sed 's/.*"calls":{\([^}]*\)}.*/\1/' | tr ',' '\n' |
	    awk -F: '{ n += $2; if ($1 ~ /txn/) t += $2 } END { print n + 0, t + 0 }'
}

run () { # instances, engines, models
	kv=127.0.4.1:$port
	weights=127.0.4.1:$((port + 1))
	head -c 64 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/key"
	"$build/standin-kv" -l "$kv" -r 0 -w 0 >"$dir/kv.out" 2>&1 &
	pids="$pids $!"
	"$build/standin-weights" -l "$weights" >"$dir/w.out" 2>&1 &
	pids="$pids $!"
	"$call" call -w 10 GET "$kv" /records >/dev/null || return 1
	i=0
	while [ $i -lt "$2" ]; do
		"$build/standin-engine" --check-fencing -l "$(engine_address $i)" \
		    -w "$weights" >/dev/null 2>&1 &
		pids="$pids $!"
		i=$((i + 1))
	done
	i=0
	while [ $i -lt "$1" ]; do
		write_settings $i >"$dir/i$i.json"
		"$build/cowslipcoved/cowslipcoved" "$dir/i$i.json" \
		    2>"$dir/i$i.log" &
		echo $! >"$dir/i$i.pid"
		pids="$pids $!"
		i=$((i + 1))
	done
	write_document "$2" "$3" >"$dir/document"
	"$call" call -w 10 GET "$(http_address 0)" /livez >/dev/null || return 1
	"$build/cowslipctl/cowslipctl" -s "$(http_address 0)" -t "$dir/key" \
	    apply "$dir/document" >&2 || return 1
	sleep "$settle"
	load=
	if [ "$rate" != 0 ]; then
		targets=
		names=
		i=0
		while [ $i -lt "$1" ]; do
			targets="$targets -t $(http_address $i)"; i=$((i + 1))
		done
		i=0
		while [ $i -lt "$3" ]; do
			names="$names${names:+, }\"m$i\""; i=$((i + 1))
		done
		printf '{"seed": 1, "duration_s": %s, "arrival": {"kind": "poisson",
		  "rate": %s}, "mix": [{"name": "m", "class": "c", "kind":
		  "completion", "weight": 1, "models": [%s], "deadline_ms":
		  60000}]}' "$((window + warm))" "$rate" "$names" >"$dir/load.json"
		# shellcheck disable=SC2086
		"$call" $targets "$dir/load.json" >"$dir/load.out" 2>&1 &
		load=$!
		sleep "$warm"
	fi
	i=0
	while [ $i -lt "$1" ]; do sample $i >"$dir/s$i"; i=$((i + 1)); done
	before=$(kv_counts)
	start=$(date +%s%N)
	sleep "$window"
	elapsed=$(($(date +%s%N) - start))
	after=$(kv_counts)
	i=0
	while [ $i -lt "$1" ]; do
		role=member
		grep -q E400 "$dir/i$i.log" && role=controller
		echo "$1 $2 $3 $role $elapsed $before $after $(cat "$dir/s$i")" \
		    "$(sample $i)"
		i=$((i + 1))
	done | awk '{
		s = $5 / 1e9
		printf "%d,%d,%d,%s,%.3f,%d,%.0f,%.0f,%.0f,%.0f,%.2f,%.2f\n",
		    $1, $2, $3, $4, ($16 - $10) / 1e7 / s, $17,
		    ($18 - $12) / s, ($19 - $13) / s, ($20 - $14) / s,
		    ($21 - $15) / s, ($8 - $6) / s, ($9 - $7) / s
	}'
	[ -n "$load" ] && wait "$load"
	stop_all
}

echo "instances,engines,models,role,cpu_percent,rss_kb,rpc_out,rpc_in,http_out,http_in,kv_calls_s,kv_txn_s"
for sizes in ${CAPACITY_RUNS:-4:36:40 8:72:40 16:144:40 16:48:40 \
    16:144:110 33:99:40 33:198:110}; do
	run "${sizes%%:*}" "$(echo "$sizes" | cut -d: -f2)" "${sizes##*:}" \
	    || { echo "run $sizes failed" >&2; cat "$dir"/i0.log >&2; stop_all; }
	port=$((port + 250))
done
