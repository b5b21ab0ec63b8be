#!/bin/sh
# Guards against catalogues in docs/ that are behind the code: every log event
# and refusal reason must be described, and event numbers must be unique.

root=$(dirname "$0")/..
status=0

require () { # file, pattern, what
	grep -q "$2" "$root/docs/$1" || { echo "$1 lacks $3"; status=1; }
}

sed -n 's/^LG_EVENT (\([A-Z_]*\), \([0-9]*\),.*/\1 \2/p' \
    "$root/libcowslip/lg_events.def" >/tmp/docs_run.$$
while read -r name number; do
	require EVENTS.md "| *$number *| *$name *|" "event $number $name"
done </tmp/docs_run.$$
sed -n 's/^RSN_REFUSAL ([A-Z_]*, "\([a-z_]*\)", \([0-9]*\),.*/\1 \2/p' \
    "$root/libcowslip/rsn.def" >/tmp/docs_run.$$
while read -r reason code; do
	require API.md "| \`$reason\` | $code |" "reason $reason with status $code"
done </tmp/docs_run.$$
rm -f /tmp/docs_run.$$
duplicates=$(sed -n 's/^LG_EVENT ([A-Z_]*, \([0-9]*\),.*/\1/p' \
    "$root/libcowslip/lg_events.def" | sort | uniq -d)
[ -z "$duplicates" ] \
    || { echo "duplicate event numbers: $duplicates"; status=1; }
exit $status
