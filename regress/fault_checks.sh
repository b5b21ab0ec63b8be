# Checks of regress/fault_run.sh that do not use the records of the stand-ins;
# "cowslipload check" reads those.

poll_generations () {
	while [ -e "$dir/polling" ]; do
		for z in 0 1 2; do
			for n in $(instances_of $z); do
				file=$dir/$(zone_name $z)-$n.pid
				read -r before <"$file"
				value=$(timeout 1 "$load" call GET \
				    "$(instance_address $z "$n")" /metrics \
				    2>/dev/null | sed -n \
				    's/^[a-z_]*configuration_generation[^ ]* //p')
				read -r after <"$file"
				[ -n "$value" ] && [ "$before" = "$after" ] \
				    && echo "$before $value" >>"$dir/generations"
			done
		done
		sleep 0.3
	done
}

check_generations () {
	awk '{ if ($2 < seen[$1]) {
		print "generation " $2 " after " seen[$1] " in process " $1
		bad = 1 } seen[$1] = $2 } END { exit bad }' \
	    "$dir/generations" >>"$dir/violations" || status=1
	[ "$(wc -l <"$dir/generations")" -gt 20 ] \
	    || violation "fewer than 21 generations were polled"
}

# The highest generation must be in force on all instances within 16 s.
check_in_force () {
	highest=$(sort -k2,2n "$dir/generations" | tail -n 1 | cut -d' ' -f2)
	for z in 0 1 2; do
		for n in $(instances_of $z); do
			tries=0
			until "$load" call GET "$(instance_address $z "$n")" \
			    /metrics 2>/dev/null | grep -q \
			    "configuration_generation[^ ]* $highest\$"; do
				tries=$((tries + 1))
				if [ $tries -ge 80 ]; then
					violation "generation $highest is not in force on $(zone_name $z)-$n"
					break
				fi
				sleep 0.2
			done
		done
	done
}

# Until an instance has exited after SIGTERM, no connection to it may break after
# a request was sent.  A refused connection is allowed: it carried no request.
check_stops () {
	[ -e "$dir/stops" ] || { violation "no instance was stopped by SIGTERM"; return; }
	while read -r address from until; do
		awk -v a="$address" -v from="$from" -v to="$until" \
		    '$2 == a && $3 == "sent" && $1 >= from && $1 <= to { n++ }
		    END { if (n) print n " connections to " a \
			" broke while it was stopping" }' "$dir/broken"
	done <"$dir/stops" >>"$dir/violations"
}

check_operators () {
	[ -e "$dir/operators" ] || { violation "no concurrent changes were made"; return; }
	grep -v ': 0 4$\|: 4 0$\|: 7 4$\|: 4 7$\|: .*[156]' "$dir/operators" \
	    | sed 's/^/operators: exit statuses for /' >>"$dir/violations"
	grep -q ': [07] 4$\|: 4 [07]$' "$dir/operators" \
	    || violation "no race of operators had a conclusive result"
}

check_crashes () {
	crashes=$(cat "$dir"/engine-*.records | grep -c '"crashes"')
	log_event "engines crashed $crashes times on requests with the crash marker"
	[ "$crashes" -gt 0 ] || violation "no request with the crash marker reached an engine"
}

# Sanitizers write their reports to the log of the process.
check_sanitizers () {
	grep -h "ERROR: AddressSanitizer\|ERROR: LeakSanitizer\|runtime error" \
	    "$dir"/*.log >>"$dir/violations"
	return 0
}
