set terminal png size 900,500
set output "haneul-long.png"
set title "haneul: short work beside long work (ms)"
set style data histogram
set style fill solid
set yrange [0:*]
set key outside
$data << EOD
metric ours baseline
"mixed_short_p50_ms" 163.1040 185.0190
"mixed_short_p99_ms" 817.7681 11186.0016
EOD
plot $data using 2:xtic(1) title columnheader(2), $data using 3 title columnheader(3)
