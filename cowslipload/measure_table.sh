#!/bin/sh
# Prints the metrics that measure.sh wrote and their targets as a Markdown
# table, and draws a plot per measure with gnuplot.
# Usage: sh cowslipload/measure_table.sh OUTPUT DEPLOYMENT...

set -u
out=$1
shift

value () { # file, policy, metric
	[ -f "$1" ] || return 0
	awk -F, -v p="$2" -v m="$3" '$1 == p && $2 == m { print $3; exit }' "$1"
}

# Prints a row with a bound on the ratio ours / other: "<" for at most, ">" for
# at least.
row () { # text, measure, policy, metric, sense, bound
	file=$out/$deployment-$2.csv
	ours=$(value "$file" ours "$4")
	other=$(value "$file" "$3" "$4")
	[ -n "$ours" ] && [ -n "$other" ] || return 0
	echo "$deployment $5 $6 $ours $other $1" | awk '{
		ratio = $5 > 0 ? $4 / $5 : 0
		met = $5 > 0 && ($2 == "<" ? ratio <= $3 : ratio >= $3)
		text = $6
		for (i = 7; i <= NF; i++)
			text = text " " $i
		printf "| %s | %s | %s | %s | %.3f | %s %s | %s |\n", $1, text,
		    $4, $5, ratio, $2 == "<" ? "<=" : ">=", $3,
		    met ? "met" : "missed"
	}'
}

# Prints a row with an upper bound on a metric of cowslipcove.
own_row () { # text, measure, metric, bound
	ours=$(value "$out/$deployment-$2.csv" ours "$3")
	other=$(value "$out/$deployment-$2.csv" baseline "$3")
	[ -n "$ours" ] || return 0
	awk -v d="$deployment" -v t="$1" -v o="$ours" -v b="${other:-none}" \
	    -v g="$4" 'BEGIN {
		printf "| %s | %s | %s | %s | - | <= %s | %s |\n", d, t, o, b, g,
		    o <= g ? "met" : "missed"
	}'
}

plot () { # measure, title, metrics...
	csv=$out/$deployment-$1.csv
	gp=$out/$deployment-$1.gp
	[ -n "$(value "$csv" baseline "$3")" ] || return 0
	title=$2
	{
		echo 'set terminal png size 900,500'
		echo "set output \"$deployment-$1.png\""
		echo "set title \"$deployment: $title\""
		echo 'set style data histogram'
		echo 'set style fill solid'
		echo 'set yrange [0:*]'
		echo 'set key outside'
		echo "\$data << EOD"
		shift 2
		echo 'metric ours baseline'
		for metric; do
			echo "\"$metric\"" "$(value "$csv" ours "$metric")" \
			    "$(value "$csv" baseline "$metric")"
		done
		echo 'EOD'
		# shellcheck disable=SC2016
		echo 'plot $data using 2:xtic(1) title columnheader(2),' \
		    '$data using 3 title columnheader(3)'
	} >"$gp"
	(cd "$out" && gnuplot "$(basename "$gp")")
}

echo "| deployment | figure | ours | other | ratio | goal | |"
echo "|---|---|---|---|---|---|---|"
for deployment; do
	row "cold start p99 (ms)" cold baseline cold_p99_ms "<" 0.5
	row "idle per serving engine-second" cold baseline idle_per_serving "<" 0.5
	for class in all counter batch; do
		row "share in time at the crest, $class" swing baseline \
		    crest_${class}_in_time_share ">" 1.5
	done
	row "p99 of short work (ms)" long baseline mixed_short_p99_ms "<" 0.3
	row "share of long work in time" long baseline \
	    mixed_long_in_time_share ">" 1
	row "p99 with two slow engines / without (ms)" slow ours-even \
	    crest_all_p99_ms "<" 1.3
	own_row "engine calls per request, slow engines" slow \
	    engine_calls_per_request 1.05
	own_row "engine calls per request, outage" outage \
	    engine_calls_per_request 1.1
	plot cold "first token of cold requests (ms)" cold_p50_ms cold_p99_ms
	plot swing "share in time at the crest" crest_all_in_time_share \
	    crest_counter_in_time_share crest_batch_in_time_share
	plot long "short work beside long work (ms)" mixed_short_p50_ms \
	    mixed_short_p99_ms
	plot slow "two slow engines (ms)" crest_all_p50_ms crest_all_p99_ms
	plot outage "engine calls per request" engine_calls_per_request
done
