#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=build/review-2/case_herd
for needed in "$program" target/cowslipcoved; do
  [ -x "$needed" ] || { echo "not run: $needed was not built" >&2; exit 2; }
done
TROUBLE=${TROUBLE-1} exec "$program" "$folder"
