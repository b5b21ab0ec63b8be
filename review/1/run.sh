#!/bin/sh
# Three gateways; five engines of models, one of which answers one order with
# bytes that are no answer; two sound engines of a plain service.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../run.inc.sh"
start_store
start_engine a z1 llm models=m0,m3 first_ms=50 events=5 gap_ms=10
start_engine b z2 llm models=m1,m4 first_ms=50 events=5 gap_ms=10
if [ "$TROUBLE" = 0 ]; then SPOIL=; else SPOIL=spoil=/api/order; fi
start_engine c z3 llm models=m2 first_ms=50 events=5 gap_ms=10 $SPOIL
start_engine d z1 desk first_ms=300
start_engine e z2 desk first_ms=300
sleep 1
start_gateway 0 z1
start_gateway 1 z2
start_gateway 2 z3
"$RIG" caller bad-answer $PORTS
exit $?
