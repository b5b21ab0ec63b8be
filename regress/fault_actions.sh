# The faults of regress/fault_run.sh: do_ACTION carries out an action of the
# schedule, and watch_NAME follows up what it began.

# Times are those of the stand-ins' records.
now_ms () {
	read -r up _ </proc/uptime
	echo $((${up%.*} * 1000 + 1${up#*.} * 10 - 1000))
}

say () { # what happened
	printf '%7d ms  %s\n' $(($(now_ms) - started_ms)) "$*" >>"$dir/faults"
}

violation () { # what
	say "violation: $*"
	echo "violation: $*" >>"$dir/violations"
}

call () { # method, address, path, body
	"$load" call "$@" >/dev/null 2>>"$dir/call.log"
}

fault () { # address, JSON
	call POST "$1" /fault "$2" || say "fault $2 was not set at $1"
}

# Instances that a fault has taken away are not chosen for another one.
usable () { # zone number
	found=
	for n in $(instances_of "$1"); do
		eval "gone=\${away_$1_$n-}"
		[ -z "$gone" ] && found="$found $n"
	done
	echo "$found"
}

first_of () { # numbers...
	echo "${1-}"
}

# Set chosen to the controller of the zone, or else to any usable instance.
choose () { # zone number
	# shellcheck disable=SC2046
	set -- "$1" $(usable "$1")
	[ $# -gt 1 ] || return 1
	chosen=$2
	holder=$(operator "$1" "$2" -j status 2>/dev/null \
	    | sed -n 's/.*"controller": *"[^"]*-\([0-9]\)".*/\1/p' | head -n 1)
	for n in $(usable "$1"); do
		[ "$n" = "$holder" ] && chosen=$n
	done
	return 0
}

do_kill () { # zone number
	choose "$1" || return 0
	killed=$chosen
	kill -9 "$(pid_of instance "$1" "$killed")"
	eval "away_$1_$killed=killed"
	say "killed instance $(zone_name "$1")-$killed (controller: ${holder:-unknown})"
}

do_start () { # zone number
	start_instance "$1" "$killed"
	eval "away_$1_$killed="
	say "started instance $(zone_name "$1")-$killed"
}

do_pause () { # zone number
	choose "$1" || return 0
	paused=$chosen
	kill -STOP "$(pid_of instance "$1" "$paused")"
	eval "away_$1_$paused=paused"
	say "paused instance $(zone_name "$1")-$paused (controller: ${holder:-unknown})"
}

do_continue () { # zone number
	kill -CONT "$(pid_of instance "$1" "$paused")"
	eval "away_$1_$paused="
	say "continued instance $(zone_name "$1")-$paused"
}

do_stop () { # two zone numbers
	for z in "$1" "$2"; do
		# shellcheck disable=SC2046
		n=$(first_of $(usable "$z"))
		[ -n "$n" ] || continue
		kill -TERM "$(pid_of instance "$z" "$n")"
		eval "away_${z}_$n=stopping"
		stopping="$stopping $z:$n:$(now_us)"
		say "told instance $(zone_name "$z")-$n to stop"
	done
}

# A planned stop must end by itself, before drain_max_ms, with status 0.  The
# time of its end is kept, to be compared with broken connections.
watch_stopping () {
	left=
	for entry in $stopping; do
		z=${entry%%:*}
		since=${entry##*:}
		n=${entry#*:}
		n=${n%%:*}
		process=$(pid_of instance "$z" "$n")
		if alive "$process"; then
			left="$left $entry"
			continue
		fi
		wait "$process"
		ended=$?
		took_ms=$((($(now_us) - since) / 1000))
		say "instance $(zone_name "$z")-$n stopped after $took_ms ms, status $ended"
		[ $ended -eq 0 ] || violation "a planned stop ended with status $ended"
		[ $took_ms -lt $drain_max_ms ] \
		    || violation "a planned stop took $took_ms ms"
		echo "$(instance_address "$z" "$n") $since $(now_us)" >>"$dir/stops"
		start_instance "$z" "$n"
		eval "away_${z}_$n="
	done
	stopping=$left
}

# Crashed and killed engines come back with empty memory.
watch_engines () {
	for z in 0 1 2; do
		for n in $text_engines $booking_engine; do
			process=$(pid_of engine $z "$n")
			alive "$process" && continue
			wait "$process"
			ended=$?
			record_end $z "$n"
			say "engine $n of $(zone_name $z) ended with status $ended"
			start_engine $z "$n"
		done
	done
}

# The run cannot judge anything without the platform.
watch_platform () {
	for entry in $platform; do
		alive "${entry#*:}" && continue
		wait "${entry#*:}"
		fail "stand-in ${entry%:*} ended with status $?"
	done
}

# A cold model is asked for, and the engine that begins to load it is killed.
do_kill_loading () { # zone number, round
	# shellcheck disable=SC2046
	n=$(first_of $(usable "$1"))
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
		say "killed engine $n of $(zone_name "$loading_zone") as it loaded $loading_model"
		loading_model=
		return 0
	done
}

# The caller of a request that crashes engines asks again and again elsewhere.
do_marked () { # round
	say "a request that crashes engines is sent"
	body="{\"model\": \"returns\", \"max_tokens\": 4,
	  \"prompt\": \"$marker $seed $1\"}"
	(
		for try in 0 1 2 3; do
			for z in 0 1 2; do
				n=$((try % 2))
				"$load" call POST "$(instance_address $z $n)" \
				    /v1/completions "$body" 2>&1 \
				    | sed "s/^/$(zone_name $z)-$n: /" \
				    >>"$dir/marked"
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
	say "the instance list is to show engine $2 of $(zone_name "$1") leaving"
	# The list shows a change after its lag of 2 s.
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
	say "the instance list is to show all engines live"
}

do_report_leaving () { # zone number, engine number
	reporting=$(engine_address "$1" "$2")
	fault "$reporting" '{"leaving": true}'
	say "engine $2 of $(zone_name "$1") reports that it is leaving"
}

do_report_live () {
	fault "$reporting" '{"leaving": false}'
	say "the engine reports that it stays"
}

do_lose_answers () { # writes
	fault "$kv" "{\"lose_answers\": $1}"
	say "the key-value service loses the answers to $1 writes"
}

do_slow () { # milliseconds
	fault "$kv" "{\"slow_ms\": $1}"
	say "the key-value service is $1 ms slower"
}

# During the outage a model that never was loaded must load in the quiet zone.
do_outage () { # kind or 0, quiet zone, round
	fault "$kv" "{\"outage\": $1}"
	say "outage of the key-value service: $1"
	if [ "$1" = 0 ]; then
		[ -e "$dir/loaded-$3" ] \
		    || violation "probe-$3 did not load in $(zone_name "$2") during the outage"
		return 0
	fi
	# shellcheck disable=SC2046
	n=$(first_of $(usable "$2"))
	(
		sleep 0.3
		"$load" call -w 6 POST "$(instance_address "$2" "$n")" \
		    /v1/completions "{\"model\": \"probe-$3\",
		      \"prompt\": \"during the outage\", \"max_tokens\": 2}" \
		    >>"$dir/probes" 2>&1 && : >"$dir/loaded-$3"
	) &
	pids="$pids $!"
}

do_cut () { # zone number
	fault "$(relay_admin "$1")" '{"cut": 1}'
	say "$(zone_name "$1") is cut off from the platform"
}

do_join () { # zone number
	fault "$(relay_admin "$1")" '{"cut": 0}'
	say "$(zone_name "$1") is connected again"
}

# Both operators read the same generation and ask different instances at once,
# so that exactly one must lose.
race () { # zone number, file of one, file of the other
	# shellcheck disable=SC2046
	set -- "$1" $(usable "$1")
	[ $# -gt 2 ] || return 1
	# The stored generation; an instance may not have it in force yet.
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

# Races in which an instance or the key-value service was not reached say
# nothing; check_operators wants some that do.
do_operators () { # zone number
	say "two operators change the document"
	(
		# With slow answers both have read before either has written.
		fault "$kv" '{"slow_ms": 100}'
		for try in 1 2 3; do
			race "$1" || sleep 0.5
		done
		fault "$kv" '{"slow_ms": 0}'
	) &
	pids="$pids $!"
}
