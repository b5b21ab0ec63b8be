# The faults of regress/fault_run.sh.  do_ACTION executes an action of the
# schedule; watch_NAME polls for its effects.

# Print the time in ms on the clock of the stand-ins' records.
now_ms () {
	read -r up _ </proc/uptime
	echo $((${up%.*} * 1000 + 1${up#*.} * 10 - 1000))
}

log_event () { # event
	printf '%7d ms  %s\n' $(($(now_ms) - started_ms)) "$*" >>"$dir/faults"
}

violation () { # what
	log_event "violation: $*"
	echo "violation: $*" >>"$dir/violations"
}

call () { # method, address, path, body
	"$load" call "$@" >/dev/null 2>>"$dir/call.log"
}

fault () { # address, JSON
	call POST "$1" /fault "$2" || log_event "cannot set fault $2 at $1"
}

# Print the numbers of the instances that no fault has made unavailable.
available_instances () { # zone number
	available=
	for n in $(instances_of "$1"); do
		eval "unavailable=\${fault_$1_$n-}"
		[ -z "$unavailable" ] && available="$available $n"
	done
	echo "$available"
}

first_of () { # numbers...
	echo "${1-}"
}

# Set chosen to the controller of the zone if it is available, or else to the
# first available instance, and holder to the number of the controller.
choose_instance () { # zone number
	# shellcheck disable=SC2046
	set -- "$1" $(available_instances "$1")
	[ $# -gt 1 ] || return 1
	chosen=$2
	holder=$(operator "$1" "$2" -j status 2>/dev/null \
	    | sed -n 's/.*"controller": *"[^"]*-\([0-9]\)".*/\1/p' | head -n 1)
	for n in $(available_instances "$1"); do
		[ "$n" = "$holder" ] && chosen=$n
	done
	return 0
}

do_kill () { # zone number
	choose_instance "$1" || return 0
	killed=$chosen
	kill -9 "$(pid_of instance "$1" "$killed")"
	eval "fault_$1_$killed=killed"
	log_event "killed instance $(zone_name "$1")-$killed (controller: ${holder:-unknown})"
}

do_start () { # zone number
	start_instance "$1" "$killed"
	eval "fault_$1_$killed="
	log_event "started instance $(zone_name "$1")-$killed"
}

do_pause () { # zone number
	choose_instance "$1" || return 0
	paused=$chosen
	kill -STOP "$(pid_of instance "$1" "$paused")"
	eval "fault_$1_$paused=paused"
	log_event "paused instance $(zone_name "$1")-$paused (controller: ${holder:-unknown})"
}

do_continue () { # zone number
	kill -CONT "$(pid_of instance "$1" "$paused")"
	eval "fault_$1_$paused="
	log_event "continued instance $(zone_name "$1")-$paused"
}

do_stop () { # two zone numbers
	for z in "$1" "$2"; do
		# shellcheck disable=SC2046
		n=$(first_of $(available_instances "$z"))
		[ -n "$n" ] || continue
		kill -TERM "$(pid_of instance "$z" "$n")"
		eval "fault_${z}_$n=stopping"
		stopping="$stopping $z:$n:$(now_us)"
		log_event "sent SIGTERM to instance $(zone_name "$z")-$n"
	done
}

# An instance must exit with status 0 within drain_max_ms after SIGTERM.  The
# time of the exit is recorded for check_stops.
watch_stopping () {
	left=
	for entry in $stopping; do
		z=${entry%%:*}
		since=${entry##*:}
		n=${entry#*:}
		n=${n%%:*}
		process=$(pid_of instance "$z" "$n")
		if is_running "$process"; then
			left="$left $entry"
			continue
		fi
		wait "$process"
		exit_status=$?
		took_ms=$((($(now_us) - since) / 1000))
		log_event "instance $(zone_name "$z")-$n exited after $took_ms ms with status $exit_status"
		[ $exit_status -eq 0 ] || violation "an instance exited with status $exit_status after SIGTERM"
		[ $took_ms -lt $drain_max_ms ] \
		    || violation "an instance took $took_ms ms to exit after SIGTERM"
		echo "$(instance_address "$z" "$n") $since $(now_us)" >>"$dir/stops"
		start_instance "$z" "$n"
		eval "fault_${z}_$n="
	done
	stopping=$left
}

# Restart engines that crashed or were killed; their memory is empty then.
watch_engines () {
	for z in 0 1 2; do
		for n in $text_engines $booking_engine; do
			process=$(pid_of engine $z "$n")
			is_running "$process" && continue
			wait "$process"
			exit_status=$?
			record_end $z "$n"
			log_event "engine $n of $(zone_name $z) exited with status $exit_status"
			start_engine $z "$n"
		done
	done
}

# End the run if a stand-in of the platform has exited: no check would be valid.
watch_platform () {
	for entry in $platform; do
		is_running "${entry#*:}" && continue
		wait "${entry#*:}"
		fail "stand-in ${entry%:*} exited with status $?"
	done
}

# Request a cold model; watch_loading kills the engine that starts to load it.
do_kill_loading () { # zone number, round
	# shellcheck disable=SC2046
	n=$(first_of $(available_instances "$1"))
	[ -n "$n" ] || return 0
	loading_zone=$1
	loading_model=victim-$2
	call -w 8 POST "$(instance_address "$1" "$n")" /v1/completions \
	    "{\"model\": \"victim-$2\", \"prompt\": \"load\", \"max_tokens\": 2}" &
	pids="$pids $!"
}

watch_loading () {
	[ -n "$loading_model" ] || return 0
	for n in $text_engines; do
		grep -q "\"$loading_model\",\"state\":\"loading\"" \
		    "$dir/engine-$loading_zone-$n.records" || continue
		kill -9 "$(pid_of engine "$loading_zone" "$n")"
		log_event "killed engine $n of $(zone_name "$loading_zone") while it loaded $loading_model"
		loading_model=
		return 0
	done
}

# Send a request that crashes engines, and retry it at other instances.
do_crash_request () { # round
	log_event "sending a request that crashes engines"
	body="{\"model\": \"returns\", \"max_tokens\": 4,
	  \"prompt\": \"$marker $seed $1\"}"
	(
		for try in 0 1 2 3; do
			for z in 0 1 2; do
				n=$((try % 2))
				"$load" call POST "$(instance_address $z $n)" \
				    /v1/completions "$body" 2>&1 \
				    | sed "s/^/$(zone_name $z)-$n: /" \
				    >>"$dir/crash_requests"
				sleep 0.2
			done
		done
	) &
	pids="$pids $!"
}

do_list_leaving () { # zone number, engine number
	leaving_zone=$1
	leaving_engine=$2
	call POST "$list" /set \
	    "$(write_instance_list "$(engine_address "$1" "$2")" leaving)"
	log_event "instance list: engine $2 of $(zone_name "$1") set to leaving"
	# The instance list publishes a change after a lag of 2 s.
	sign_ms=$(($(now_ms) + 2100))
}

watch_sign () {
	[ -n "$sign_ms" ] && [ "$(now_ms)" -ge "$sign_ms" ] || return 0
	sign_ms=
	echo "{\"list\": \"leaving\", \"time_us\": $(now_us)}" \
	    >>"$dir/engine-$leaving_zone-$leaving_engine.records"
}

do_list_live () {
	echo "{\"list\": \"back\", \"time_us\": $(now_us)}" \
	    >>"$dir/engine-$leaving_zone-$leaving_engine.records"
	call POST "$list" /set "$(write_instance_list)"
	log_event "instance list: all engines set to live"
}

do_report_leaving () { # zone number, engine number
	reporting=$(engine_address "$1" "$2")
	fault "$reporting" '{"leaving": true}'
	log_event "engine $2 of $(zone_name "$1") reports that it is leaving"
}

do_report_live () {
	fault "$reporting" '{"leaving": false}'
	log_event "the engine no longer reports that it is leaving"
}

do_lose_answers () { # writes
	fault "$kv" "{\"lose_answers\": $1}"
	log_event "the key-value service drops the responses to $1 writes"
}

do_slow () { # milliseconds
	fault "$kv" "{\"slow_ms\": $1}"
	log_event "the key-value service delays responses by $1 ms"
}

# During the outage a model that was never loaded before must load in the quiet
# zone, where no instance has a fault.
do_outage () { # kind or 0, quiet zone, round
	fault "$kv" "{\"outage\": $1}"
	log_event "outage of the key-value service: $1"
	if [ "$1" = 0 ]; then
		[ -e "$dir/loaded-$3" ] \
		    || violation "probe-$3 did not load in $(zone_name "$2") during the outage"
		return 0
	fi
	# shellcheck disable=SC2046
	n=$(first_of $(available_instances "$2"))
	(
		sleep 0.3
		"$load" call -w 6 POST "$(instance_address "$2" "$n")" \
		    /v1/completions "{\"model\": \"probe-$3\",
		      \"prompt\": \"during the outage\", \"max_tokens\": 2}" \
		    >>"$dir/probes" 2>&1 && : >"$dir/loaded-$3"
	) &
	pids="$pids $!"
}

do_disconnect () { # zone number
	fault "$(relay_admin "$1")" '{"cut": 1}'
	log_event "$(zone_name "$1") is disconnected from the platform"
}

do_reconnect () { # zone number
	fault "$(relay_admin "$1")" '{"cut": 0}'
	log_event "$(zone_name "$1") is connected again"
}

# Two operators change the same generation at the same time through different
# instances; exactly one change must be refused as a conflict.
race () { # zone number, file of one, file of the other
	# shellcheck disable=SC2046
	set -- "$1" $(available_instances "$1")
	[ $# -gt 2 ] || return 1
	# The stored generation, which may not be in force on all instances yet.
	base=$(operator "$1" "$2" -j show 2>/dev/null \
	    | sed -n 's/^ *"generation": *\([0-9]*\).*/\1/p' | head -n 1)
	[ -n "$base" ] || return 1
	write_document "$models" $((2000 + base * 2)) >"$dir/one.json"
	write_document "$models" $((2001 + base * 2)) >"$dir/two.json"
	operator "$1" "$2" -a one -b "$base" -w 1 apply "$dir/one.json" \
	    >>"$dir/one.out" 2>&1 &
	one=$!
	operator "$1" "$3" -a two -b "$base" -w 1 apply "$dir/two.json" \
	    >>"$dir/two.out" 2>&1 &
	two=$!
	wait $one; one=$?
	wait $two; two=$?
	echo "base $base: $one $two" >>"$dir/operators"
}

# A race in which an instance or the key-value service was unavailable proves
# nothing; check_operators requires at least one that does.
do_operators () { # zone number
	log_event "two operators change the document"
	(
		# Slow responses let both operators read before either writes.
		fault "$kv" '{"slow_ms": 100}'
		for try in 1 2 3; do
			race "$1" || sleep 0.5
		done
		fault "$kv" '{"slow_ms": 0}'
	) &
	pids="$pids $!"
}
