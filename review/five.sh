#!/bin/sh
# Runs a case five times with the disruption and once without:
# review/five.sh N.  Prints the exit statuses.
cd "$(dirname "$0")" || exit 2
TROUBLE=0 sh "$1/run.sh"
echo "case $1 undisturbed: $?"
for run in 1 2 3 4 5; do
  sh "$1/run.sh"
  echo "case $1 run $run: $?"
done
