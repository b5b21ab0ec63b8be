#!/bin/sh
# Guards against a key-value stand-in that differs from the published protocol
# or ignores injected faults.  Tests that rely on it would pass without checking
# anything.

. "$(dirname "$0")/standins.sh"
start kv --writes 50
kv=$address
put='"success":[{"requestPut":{"key":"YWE=","value":"YmI="'
absent='"compare":[{"target":"CREATE","key":"YWE=","createRevision":"0"}]'

expect "grant" '"ID":"1","TTL":"1"' "$(call "$kv" /v3/lease/grant '{"TTL":1}')"
expect "create" '"succeeded":true' \
    "$(call "$kv" /v3/kv/txn "{$absent,$put,\"lease\":\"1\"}}]}")"
response=$(call "$kv" /v3/kv/txn "{$absent,$put}}],
  \"failure\":[{\"request_range\":{\"key\":\"YWE=\"}}]}")
refuse "create again" succeeded "$response"
expect "create again" '"value":"YmI=","lease":"1"' "$response"
expect "prefix range" '"count":"1"' \
    "$(call "$kv" /v3/kv/range '{"key":"YQ==","range_end":"Yg=="}')"
expect "unknown lease" "lease not found" \
    "$(call "$kv" /v3/kv/txn "{$put,\"lease\":\"9\"}}]}")"

# A watch from revision 1 returns past events and the expiry of the lease.
"$load" call POST "$kv" /v3/watch '{"create_request":{"key":"YQ==",
  "range_end":"Yg==","start_revision":"1"}}' >"$dir/watch" 2>&1 &
watch=$!
await "watch opens" '"watches":1' "$kv" /records
await "lease expires" '"leases":0' "$kv" /records
refuse "key of an expired lease" count \
    "$(call "$kv" /v3/kv/range '{"key":"YWE="}')"
expect "keepalive of an expired lease" '"ID":"1"}' \
    "$(call "$kv" /v3/lease/keepalive '{"ID":"1"}')"
call "$kv" /fault '{"lose_answers":1}' >/dev/null
expect "lost response" "connection cut" \
    "$(call "$kv" /v3/kv/txn "{$put}}]}")"
expect "effect of a lost response" '"count":"1"' \
    "$(call "$kv" /v3/kv/range '{"key":"YWE="}')"

call "$kv" /fault '{"outage":1}' >/dev/null
wait $watch
expect "watch of the past" '"version":"1","value":"YmI=","lease":"1"' \
    "$(cat "$dir/watch")"
expect "watch of the expiry" '"type":"DELETE"' "$(cat "$dir/watch")"
expect "outage" "status 503" "$(call "$kv" /v3/kv/range '{"key":"YWE="}')"
expect "unknown fault" "unknown fault" "$(call "$kv" /fault '{"x":1}')"
call "$kv" /fault '{"outage":0}' >/dev/null
# The end of an outage closes the connections of calls without a response.
call "$kv" /fault '{"outage":2}' >/dev/null
call "$kv" /v3/kv/range '{"key":"YWE="}' >"$dir/silent" &
silent=$!
sleep 0.3
call "$kv" /fault '{"outage":0}' >/dev/null
wait $silent
expect "silent outage" "connection cut" "$(cat "$dir/silent")"

# 60 parallel writes exceed the limit of 2 writes per second unless starting
# them takes half a minute.
start kv --writes 2
kv=$address
writers=
for _ in $(seq 60); do
	call "$kv" /v3/kv/txn "{$put}}]}" >/dev/null &
	writers="$writers $!"
done
for writer in $writers; do wait "$writer"; done
expect "peak of writes" '"refused_by_rate":' "$(get "$kv" /records)"
