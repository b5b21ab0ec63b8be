#!/bin/sh
# Names of the users' platform stand in platform/ only; everything else uses
# the words of the product.  Guards against a second copy of the protocol.
cd "$(dirname "$0")/.." || exit 1
names='X-Cowslipcove-|kv-txn|kv-watch|kv-range|kv-lease|op/config|/api/report'
names="$names|/api/order|servers/|PathPrefix|MaxAttempts|TimeoutMs|WeightsMb"
if grep -nE "$names" libcowslip/*.[ch] cowslipcoved/*.[ch] cowslipctl/*.[ch] \
    cowslipload/*.[ch] standin/*/*.[ch] proto/cowslip.x; then
	echo "names of the platform outside platform/"
	exit 1
fi
lines=$(cat platform/*.[ch] | wc -l)
echo "platform/ has $lines lines"
# Past this size the folder would hold more than translation.
[ "$lines" -lt 2500 ]
