set terminal png size 900,500
set output "haneul-outage.png"
set title "haneul: engine calls per request"
set style data histogram
set style fill solid
set yrange [0:*]
set key outside
$data << EOD
metric ours baseline
"engine_calls_per_request" 0.9988 1.0000
EOD
plot $data using 2:xtic(1) title columnheader(2), $data using 3 title columnheader(3)
