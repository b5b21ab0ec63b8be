#!/bin/sh
# Guards against catalogues in docs/ that lag behind the code: every log event,
# refusal reason and settings key must be described.

root=$(dirname "$0")/..
status=0

need () { # file, pattern, what
	grep -q "$2" "$root/docs/$1" || { echo "$1 lacks $3"; status=1; }
}

sed -n 's/^LG_EVENT (\([A-Z_]*\), \([0-9]*\),.*/\1 \2/p' \
    "$root/libcowslip/lg_events.def" >/tmp/docs_run.$$
while read -r name number; do
	need EVENTS.md "| *$number *| *$name *|" "event $number $name"
done </tmp/docs_run.$$
sed -n 's/^RSN_REFUSAL ([A-Z_]*, "\([a-z_]*\)", \([0-9]*\),.*/\1 \2/p' \
    "$root/libcowslip/rsn.def" >/tmp/docs_run.$$
while read -r reason code; do
	need API.md "| \`$reason\` | $code |" "reason $reason with status $code"
done </tmp/docs_run.$$
rm -f /tmp/docs_run.$$
# No event number stands twice.
twice=$(sed -n 's/^LG_EVENT ([A-Z_]*, \([0-9]*\),.*/\1/p' \
    "$root/libcowslip/lg_events.def" | sort | uniq -d)
[ -z "$twice" ] || { echo "event numbers stand twice: $twice"; status=1; }
exit $status
