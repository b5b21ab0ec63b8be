set terminal png size 900,500
set output "haneul-cold.png"
set title "haneul: first token of cold requests (ms)"
set style data histogram
set style fill solid
set yrange [0:*]
set key outside
$data << EOD
metric ours baseline
"cold_p50_ms" 1303.4740 1723.3855
"cold_p99_ms" 3918.7255 3308.5834
EOD
plot $data using 2:xtic(1) title columnheader(2), $data using 3 title columnheader(3)
