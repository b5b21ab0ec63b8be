set terminal png size 900,500
set output "haneul-slow.png"
set title "haneul: two slow engines (ms)"
set style data histogram
set style fill solid
set yrange [0:*]
set key outside
$data << EOD
metric ours baseline
"crest_all_p50_ms" 440.1845 459.1875
"crest_all_p99_ms" 2937.0884 3145.0421
EOD
plot $data using 2:xtic(1) title columnheader(2), $data using 3 title columnheader(3)
