# Functions that start the stand-ins of the platform and instances in three
# zones.  Used by demo/run.sh and regress/fault_run.sh, which set the variables
# build, dir, name and instances_of_0, instances_of_1, instances_of_2
# (the numbers of the instances in each zone).

zones="busan-a busan-b ulsan-c"
text_engines="0 1 2"
booking_engine=3
load=$build/cowslipload/cowslipload
ctl=$build/cowslipctl/cowslipctl
pids=
status=1

# Set port to the first port of a block of 100 that no other run uses.  The
# key-value service of a run listens on the first port of its block.
pick_port () {
	for try in 0 1 2 3 4 5 6 7 8 9; do
		port=$((20000 + ($$ + try * 13) % 100 * 100))
		hex=$(printf '0100007F:%04X 00000000:0000 0A' $port)
		grep -q "$hex" /proc/net/tcp || return 0
	done
	fail "no free block of ports"
}

# Stop the processes started here, and no others.
stop_all () {
	# SIGCONT comes first: a signal after SIGTERM would interrupt the leak
	# check at exit.
	for pid in $pids; do kill -CONT "$pid" 2>/dev/null; done
	for pid in $pids; do kill "$pid" 2>/dev/null; done
	tries=0
	for pid in $pids; do
		while is_running "$pid" && [ $tries -lt 400 ]; do
			tries=$((tries + 1))
			sleep 0.05
		done
		is_running "$pid" && echo "process $pid did not exit within 20 s; sending SIGKILL" \
		    && kill -9 "$pid"
		wait "$pid" 2>/dev/null
	done
	if [ $status -eq 0 ]; then
		rm -rf "$dir"
	else
		echo "logs and settings are in $dir"
	fi
}

fail () { # message
	echo "$name: $1" >&2
	exit 1
}

# A process that has exited remains a zombie until it is waited for.
is_running () { # process id
	[ -r "/proc/$1/stat" ] || return 1
	read -r _ _ state _ <"/proc/$1/stat" 2>/dev/null || return 1
	[ "$state" != Z ]
}

# Start a stand-in and set pid.  A stand-in prints its port when it listens.
start_standin () { # name program options...
	standin=$1
	program=$build/standin-$2
	shift 2
	rm -f "$dir/$standin.port"
	"$program" "$@" >"$dir/$standin.port" 2>>"$dir/$standin.log" &
	pid=$!
	pids="$pids $pid"
	case $standin in
	engine-*) ;;
	*) echo "$standin:$pid" >>"$dir/platform" ;;
	esac
	tries=0
	until [ -s "$dir/$standin.port" ]; do
		is_running "$pid" || {
			cat "$dir/$standin.log" >&2
			fail "$standin exited at start"
		}
		tries=$((tries + 1))
		[ $tries -lt 200 ] || fail "$standin did not listen within 10 s"
		sleep 0.05
	done
}

port=${CLUSTER_PORT-}
[ -n "$port" ] || pick_port
kv=127.0.0.1:$port
list=127.0.0.1:$((port + 1))
weights=127.0.0.1:$((port + 2))
booking=127.0.0.1:$((port + 3))
lookup=127.0.0.1:$((port + 4))

zone_name () { # zone number
	# shellcheck disable=SC2086
	set -- "$1" $zones
	shift "$1"
	echo "$2"
}

instances_of () { # zone number
	eval "echo \"\$instances_of_$1\""
}

engine_address () { # zone number, engine number
	echo "127.0.0.1:$((port + 10 + $1 * 4 + $2))"
}

instance_address () { # zone number, instance number
	echo "127.0.0.1:$((port + 30 + $1 * 3 + $2))"
}

rpc_address () { # zone number, instance number
	echo "127.0.0.1:$((port + 40 + $1 * 3 + $2))"
}

# Process ids of engines and instances are in variables such as engine_0_2
# (engine 2 of zone 0).
pid_of () { # engine or instance, zone number, number
	eval "echo \"\$$1_$2_$3\""
}

start_engine () { # zone number, engine number
	check=--check-fencing
	[ "$2" = $booking_engine ] && check=
	# shellcheck disable=SC2086
	start_standin "engine-$1-$2" engine $check ${engine_options-} \
	    --log "$dir/engine-$1-$2.records" \
	    -l "$(engine_address "$1" "$2")" -w "$weights"
	eval "engine_$1_$2=$pid"
}

start_instance () { # zone number, instance number
	instance=$(zone_name "$1")-$2
	"$build/cowslipcoved/cowslipcoved" "$dir/$instance.json" \
	    2>>"$dir/$instance.log" &
	pid=$!
	pids="$pids $pid"
	eval "instance_$1_$2=$pid"
	echo "$pid" >"$dir/$instance.pid"
}

start_platform () { # options of the weight store
	start_standin kv kv -l "$kv"
	start_standin instances instances -l "$list" -t 2000
	start_standin weights weights -l "$weights" "$@"
	start_standin booking service -l "$booking"
	start_standin lookup service -l "$lookup"
	for z in 0 1 2; do
		for n in $text_engines $booking_engine; do
			start_engine $z "$n"
		done
	done
	"$load" call POST "$list" /set "$(write_instance_list)" >/dev/null \
	    || fail "cannot set the instance list"
}

endpoints () { # engine numbers...
	sep=
	for z in 0 1 2; do
		for n in "$@"; do
			printf '%s{"address": "%s", "zone": "%s"}' "$sep" \
			    "$(engine_address $z "$n")" "$(zone_name $z)"
			sep=", "
		done
	done
}

# Print the settings of one model.
model () { # name, pool, bytes, replicas per zone
	printf '"%s": {"pool": "%s", "version": "1", "bytes": %s,
	  "adapter_bytes": 1000000000, "class": "counter",
	  "replicas": {"busan-a": %s, "busan-b": %s, "ulsan-c": %s},
	  "keep_alive_min_ms": 2000, "keep_alive_max_ms": 600000}' \
	    "$1" "$2" "$3" "$4" "$4" "$4"
}

write_document () { # names of additional models, limit of waiting requests
	cat <<-END
	{
	  "name": "production",
	  "classes": {
	    "counter": {"deadline_ms": 10000, "first_token_ms": 1000,
	      "between_tokens_ms": 25, "expected_ms": 1000, "priority": 10},
	    "batch": {"deadline_ms": ${batch_deadline_ms:-30000},
	      "expected_ms": 10000, "priority": 1}
	  },
	  "pools": {
	    "text": {"memory_bytes": 80000000000, "batch": 32,
	      "checks_fencing": true, "can_resume": true,
	      "endpoints": [$(endpoints $text_engines)]},
	    "booking": {"memory_bytes": 80000000000, "batch": 32,
	      "checks_fencing": false, "can_resume": true,
	      "endpoints": [$(endpoints $booking_engine)]}
	  },
	  "models": {
	    $(model returns text 8000000000 2),
	    $(for n in 1 2 3 4 5 6 7 8; do
		model "damage-$n" text 16000000000 1; echo ,; done)
	    $(for n in $1; do model "$n" text 4000000000 1; echo ,; done)
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
	  "limits": {"waiting_max": $2, "retry_percent": 5,
	    "adapter_loads_max": 32, "weight_loads_max": ${weight_loads_max:-4}}
	}
	END
}

rpc_peers () { # zone number, instance number
	sep=
	for n in $(instances_of "$1"); do
		[ "$n" = "$2" ] && continue
		printf '%s"%s"' "$sep" "$(rpc_address "$1" "$n")"
		sep=", "
	done
}

write_settings () { # zone number, instance number, address of KV and of list
	cat <<-END
	{
	  "instance": "$(zone_name "$1")-$2", "member_number": $(($2 + 1)),
	  "zone": "$(zone_name "$1")", "region": "kr-south",
	  "environment": "production",
	  "http_address": "$(instance_address "$1" "$2")",
	  "rpc_address": "$(rpc_address "$1" "$2")",
	  "kv_address": "$3", "instance_list_address": "$4",
	  "peers": [$(rpc_peers "$1" "$2")],
	  "peer_key_file": "peer.key", "operator_token_file": "operator.token",
	  "body_max_bytes": 4194304, "drain_notice_ms": ${drain_notice_ms:-3000},
	  "drain_max_ms": ${drain_max_ms:-10000}, "log_level": 6
	}
	END
}

write_instance_list () { # address to change, its state ("gone" omits it)
	printf '{"instances": ['
	sep=
	for z in 0 1 2; do
		for n in $text_engines $booking_engine; do
			address=$(engine_address $z "$n")
			shown=live
			[ "$address" = "${1-}" ] && shown=$2
			[ $shown = gone ] && continue
			printf '%s{"address": "%s", "zone": "%s",
			  "state": "%s"}' "$sep" "$address" \
			    "$(zone_name $z)" "$shown"
			sep=", "
		done
	done
	printf '%s{"address": "%s", "zone": "busan-a", "state": "live"}' \
	    "$sep" "$booking"
	printf ', {"address": "%s", "zone": "busan-b", "state": "live"}' \
	    "$lookup"
	printf ']}\n'
}

write_experiment () { # seed, seconds, arrival, deadline of the load tool in ms
	cat <<-END
	{
	  "seed": $1, "duration_s": $2, "resend": true, "arrival": $3,
	  "mix": [
	    {"name": "returns", "class": "counter", "kind": "chat", "weight": 6,
	      "models": ["returns", "shop-1", "shop-2"], "skew": 1,
	      "prefixes": 4, "deadline_ms": $4},
	    {"name": "damage", "class": "counter", "kind": "completion",
	      "weight": 3, "skew": 1, "stream": false, "deadline_ms": $4,
	      "models": ["damage-1", "damage-2", "damage-3", "damage-4",
	        "damage-5", "damage-6", "damage-7", "damage-8"]},
	    {"name": "slots", "class": "batch", "kind": "completion",
	      "weight": 1, "models": ["slots"], "long_percent": 2,
	      "long_factor": 20, "tokens_min": 8, "tokens_max": 16,
	      "deadline_ms": ${batch_deadline_ms:-30000}},
	    {"name": "booking", "kind": "service", "weight": 2, "key": true,
	      "repeat_percent": 10, "services": ["booking"], "path": "/book",
	      "deadline_ms": $4},
	    {"name": "lookup", "kind": "service", "weight": 2, "method": "GET",
	      "services": ["lookup"], "path": "/status", "deadline_ms": $4}
	  ]
	}
	END
}

write_keys () {
	head -c 48 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/peer.key"
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/operator.token"
}

# Set targets to the options that name all instances.
start_instances () {
	targets=
	for z in 0 1 2; do
		for n in $(instances_of $z); do
			start_instance $z "$n"
			targets="$targets -t $(instance_address $z "$n")"
		done
	done
}

operator () { # zone number, instance number, command...
	server=$(instance_address "$1" "$2")
	shift 2
	"$ctl" -s "$server" -t "$dir/operator.token" "$@"
}

apply_first () { # file
	"$load" call -w 10 GET "$(instance_address 0 0)" /livez >/dev/null \
	    || fail "no instance responds"
	# Exit status 7: not all instances have reported the new generation, which
	# is possible while they start.
	operator 0 0 -w 2 apply "$1"
	applied=$?
	[ $applied -eq 0 ] || [ $applied -eq 7 ] \
	    || fail "cannot apply the document"
	for target in $targets; do
		[ "$target" = -t ] && continue
		"$load" call -w 30 GET "$target" /readyz >/dev/null \
		    || fail "$target is not ready"
	done
}

# Wait until every zone has a pinned slot.  Slots are loaded only after their
# engines are recorded in the key-value service.
wait_placed () {
	for z in 0 1 2; do
		tries=0
		until for n in $(instances_of $z); do
			operator $z "$n" -j status; done 2>/dev/null \
		    | grep -q '"pinned": *true'; do
			tries=$((tries + 1))
			[ $tries -lt 100 ] || fail "no pinned slot in $(zone_name $z)"
			sleep 0.1
		done
	done
}

# Print the time in us on the clock of the stand-ins' records.
now_us () {
	read -r up _ </proc/uptime
	echo "${up%.*}${up#*.}0000"
}

# Record the end of an engine, which a killed engine cannot do itself.
record_end () { # zone number, engine number
	echo "{\"list\": \"ended\", \"time_us\": $(now_us)}" \
	    >>"$dir/engine-$1-$2.records"
}

# Print the options of "cowslipload check" that name the records of all
# stand-ins.  Engines write their records to files, which remain after an engine
# is killed.
record_options () {
	printf ' --kv %s --service %s --service %s' "$kv" "$booking" "$lookup"
	for z in 0 1 2; do
		for n in $text_engines $booking_engine; do
			printf ' --engine-log %s@%s' \
			    "$dir/engine-$z-$n.records" "$(zone_name $z)"
		done
	done
}
