# Shared by the scripts: starts the platform's stand-ins and the gateways, as
# deploy/system.toml does, and ends all of them.  Sourced with the folder of the
# case in CASE; GATEWAYS is the number of gateways.
REVIEW=$(cd "$CASE/.." && pwd)
ROOT=$(cd "$REVIEW/.." && pwd)
RIG=$REVIEW/rig
GATEWAY=$ROOT/target/cowslipcoved
TMP=$(mktemp -d) || exit 2
PIDS=
RIG_START=$(date +%s.%N)
RIG_RECORD=$CASE/record.txt
export RIG_START RIG_RECORD TROUBLE
: >"$RIG_RECORD" || exit 2
[ -x "$RIG" ] && [ -x "$GATEWAY" ] || exit 2
BASE=$("$RIG" ports 60) || exit 2

stop_all () {
  trap - EXIT INT TERM
  for pid in $PIDS; do kill -TERM "$pid" 2>/dev/null; done
  wait
  if [ -n "$KEEP_LOGS" ]; then cp "$TMP"/*.log "$KEEP_LOGS"/; fi
  rm -rf "$TMP"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

start_store () {
  "$RIG" store "$BASE" "$CASE/config.json" &
  PIDS="$PIDS $!"
  sleep 0.3
}

# start_engine NAME ZONE SERVICE OPTION...; the ports begin at BASE + 30.
ENGINES=0
start_engine () {
  name=$1 zone=$2 service=$3
  shift 3
  "$RIG" engine "$name" $((BASE + 30 + ENGINES)) "$zone" "$service" "$BASE" \
    "$@" &
  PIDS="$PIDS $!"
  ENGINES=$((ENGINES + 1))
}

# Fills in the settings of deploy/settings.json for a gateway and starts it.
# start_gateway NUMBER ZONE; MEMORY_MB is the limit of a process, 0: none.
PORTS=
start_gateway () {
  port=$((BASE + 1 + 4 * $1))
  sed -e '/^\/\*/d' \
    -e "s/{{Node}}/edge-$2-$1/; s/{{Zone}}/$2/" \
    -e "s/{{Listen.Front}}/127.0.0.1:$port/" \
    -e "s/{{Listen.Ready}}/127.0.0.1:$((port + 1))/" \
    -e "s/{{Ip}}:{{PortRange.0}}/127.0.0.1:$((port + 2))/" \
    -e "s/{{Ip}}:9464/127.0.0.1:$((port + 3))/" \
    -e "s/{{Platform.Address}}/127.0.0.1:$BASE/" \
    -e 's/{{Bounds.GraceS}}/8/; s/{{Bounds.LeaseMs}}/3000/' \
    -e 's/{{Bounds.DrainMs}}/2000/; s/{{Bounds.ConfigApplyMs}}/2000/' \
    -e 's/{{Bounds.RetryBudgetRatio}}/0.2/; s/{{Bounds.BudgetExtra}}/56/' \
    -e 's/{{Bounds.BudgetWindowS}}/10/; s/{{Limits.CpuShare}}/0.25/' \
    -e 's/{{Limits.MaxFds}}/4200/' \
    "$ROOT/deploy/settings.json" >"$TMP/gateway-$1.json"
  "$RIG" keep "gateway-$1" "$TMP/gateway-$1.log" "${MEMORY_MB:-0}" \
    "$GATEWAY" "$TMP/gateway-$1.json" &
  PIDS="$PIDS $!"
  PORTS="$PORTS $port"
}
