#!/bin/sh
# Guards against stand-ins of engines, services, the weight store and the
# instance list that ignore injected faults or omit records.  Tests that rely on
# them would pass without checking anything.

. "$(dirname "$0")/standins.sh"
start weights -n 100
weights=$address
start engine --check-fencing --adapter-store -w "$weights" --memory 1000000
engine=$address
engine_pid=$pid
order='"model":"m","version":"1","bytes":600000'
request='"model":"m","prompt":"hello","max_tokens":3'

expect "not loaded" '"not_started":true' \
    "$(call "$engine" /v1/completions "{$request}")"
expect "seal" '"fence":"18446744073709551615"' \
    "$(call "$engine" /admin/seal '{"fence":"18446744073709551615"}')"
expect "old fence" "stale fence" \
    "$(call "$engine" /admin/load "{$order,\"fence\":\"9\"}")"
fence='"fence":"18446744073709551615"'
expect "load" '"state":"loading"' \
    "$(call "$engine" /admin/load "{$order,\"adapter_bytes\":100,$fence}")"
expect "no memory" "status 507" "$(call "$engine" /admin/load \
    "{\"model\":\"n\",\"version\":\"1\",\"bytes\":500000,$fence}")"
await "loaded" '"state":"loaded"' "$engine" /admin/state
expect "adapter" '"name":"a","model":"m","version":"1","state":"loaded"' \
    "$(call "$engine" /admin/adapters/load \
    "{\"adapter\":\"a\",\"version\":\"1\",\"model\":\"m\",\"bytes\":9,$fence}")"
expect "adapter store" '"adapters":1' "$(get "$weights" /records)"

complete=$(call "$engine" /v1/completions "{$request}")
expect "plain response" '"completion_tokens":3' "$complete"
stream=$(call "$engine" /v1/completions "{$request,\"stream\":true}")
expect "stream" "[DONE]" "$stream"
tokens=$(echo "$stream" | sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n')
expect "same text without streaming" "\"text\":\"$tokens\"" "$complete"
rest=$(call "$engine" /v1/completions "{$request,\"stream\":true,
  \"resume_from\":2,\"resume_id\":\"x\"}")
refuse "resumed" "\"text\":\"$(echo "$tokens" | cut -c1-7)\"" "$rest"
expect "resumed" "\"text\":\"$(echo "$tokens" | cut -c15-21)\"" "$rest"

call "$engine" /fault '{"cut_after_tokens":2}' >/dev/null
expect "cut stream" "connection cut" \
    "$(call "$engine" /v1/completions "{$request,\"stream\":true}")"
call "$engine" /fault '{"cut_after_tokens":0,"refuse":1}' >/dev/null
expect "refuse" '"not_started":true' \
    "$(call "$engine" /v1/completions "{$request}")"

# A caller that disconnects cancels its request.
timeout 0.5 "$load" call POST "$engine" /v1/completions \
    '{"model":"m","prompt":"x","max_tokens":100000}'
await "cancelled" '"outcome":"cancelled"' "$engine" /records
await "report" '"running":0' "$engine" /admin/report
call "$engine" /admin/unload "{\"model\":\"m\",$fence}" >/dev/null
await "unloaded" '"models":[]' "$engine" /admin/state
expect "stays cached" '"cached":[{"name":"m"' "$(get "$engine" /admin/state)"
call "$engine" /admin/load "{$order,$fence}" >/dev/null
await "loaded again" '"state":"loaded","tier":"memory"' "$engine" /admin/state
call "$engine" /fault '{"crash_on":"boom"}' >/dev/null
call "$engine" /v1/completions '{"model":"m","prompt":"a boom"}' >/dev/null
wait "$engine_pid"
expect "crash" 3 $?

start service
service=$address
expect "run" '"run":1' "$(call "$service" /x '{}')"
call "$service" /fault '{"cut_before_answer":1}' >/dev/null
expect "no response" "connection cut" "$(call "$service" /x '{}')"
call "$service" /fault '{"refuse_before_run":1}' >/dev/null
expect "refused" '"not_started":true' "$(call "$service" /x '{}')"
expect "runs" '"run_count":2,"refused":1' "$(get "$service" /records)"

start instances -t 300
call "$address" /set '{"instances":[{"address":"127.0.0.1:1"}]}' >/dev/null
expect "list before the lag" '"instances":[]' "$(get "$address" /instances)"
await "list" 127.0.0.1:1 "$address" /instances
