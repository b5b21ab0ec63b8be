#!/bin/sh
# Guards against uses of the platform's protocol outside platform/: names of the
# users' platform may occur only there, all other code uses names of the
# product.
cd "$(dirname "$0")/.." || exit 1
names='X-Cowslipcove-|kv-txn|kv-watch|kv-range|kv-lease|op/config|/api/report'
names="$names|/api/order|servers/|PathPrefix|MaxAttempts|TimeoutMs|WeightsMb"
names="$names|Server-Leaving"
if grep -nE "$names" libcowslip/*.[ch] cowslipcoved/*.[ch] cowslipctl/*.[ch] \
    cowslipload/*.[ch] standin/*/*.[ch] proto/cowslip.x; then
	echo "names of the platform occur outside platform/"
	exit 1
fi
lines=$(cat platform/*.[ch] | wc -l)
echo "platform/ has $lines lines"
# platform/ only translates between protocols; more lines indicate other logic.
[ "$lines" -lt 2500 ]
