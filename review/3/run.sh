#!/bin/sh
# Three gateways; four engines of one model, one of which once answers a stream
# with a body without end; three sound engines of a plain service.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../run.inc.sh"
start_store
if [ "$TROUBLE" = 0 ]; then SPOIL=; else SPOIL="spoil=/chat/x endless=1"; fi
start_engine a z1 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine b z2 llm models=m0 first_ms=50 events=5 gap_ms=10 $SPOIL
start_engine c z3 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine d z1 llm models=m0 first_ms=50 events=5 gap_ms=10
start_engine e z1 desk first_ms=60
start_engine f z2 desk first_ms=60
start_engine g z3 desk first_ms=60
sleep 1
start_gateway 0 z1
start_gateway 1 z2
start_gateway 2 z3
"$RIG" caller hang $PORTS
exit $?
