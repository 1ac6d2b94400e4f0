# Plots of scripts/measure_calls.py: goodput, latency and faults.
#
# Usage: gnuplot -e "data='DIRECTORY'; output='docs/plots'" scripts/plot_calls.gp

if (!exists("data")) data = "."
if (!exists("output")) output = "docs/plots"

set terminal pngcairo size 900,500 font "sans,11"
set grid ytics
set key outside right top

file = data . "/load-none.dat"
keyed = data . "/load-memory.dat"

set output output . "/calls_goodput.png"
set title "Answered within the deadline of 500 ms, 20 % once"
set xlabel "offered load, times the capacity of 1,200 calls/s"
set ylabel "calls answered in time, %"
set yrange [0:105]
plot file using 1:4 with linespoints title "once, no keys", \
     keyed using 1:4 with linespoints title "once, memory keys", \
     file using 1:5 with linespoints title "repeatable", \
     file using 1:($3 / 12) with linespoints title "goodput, % of capacity"

set output output . "/calls_latency.png"
set title "Latency of answered calls, p99"
set ylabel "ms"
set yrange [0:*]
plot file using 1:6 with linespoints title "once, no keys", \
     keyed using 1:6 with linespoints title "once, memory keys", \
     file using 1:7 with linespoints title "repeatable"

set output output . "/calls_faults.png"
set title "One of four servers at fault, at 0.6 times the capacity"
unset xlabel
set ylabel "calls answered in time, %"
set yrange [90:100.5]
set y2label "p99 of repeatable calls, ms"
set y2tics
set y2range [0:*]
set style data histograms
set style histogram clustered
set style fill solid 0.6
set xtics rotate by -20
plot data . "/faults.dat" using 4:xtic(1) title "once", \
     '' using 5 title "repeatable", \
     '' using 7 axes x1y2 title "p99, ms (right)"
