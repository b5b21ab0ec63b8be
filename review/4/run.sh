#!/bin/sh
# Three gateways, engines of one model and of a plain service, all sound, and
# another writer of the store.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../run.inc.sh"
start_store
start_engine a z1 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine b z2 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine c z3 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine d z1 desk first_ms=60
start_engine e z2 desk first_ms=60
start_engine f z3 desk first_ms=60
sleep 1
start_gateway 0 z1
start_gateway 1 z2
start_gateway 2 z3
if [ "$TROUBLE" != 0 ]; then
  "$RIG" writer "$BASE" 15 37000 &
  PIDS="$PIDS $!"
fi
"$RIG" caller hang $PORTS
exit $?
