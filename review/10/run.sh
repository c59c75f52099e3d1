#!/bin/sh
# A valid configuration adds a route with a short timeout-ms to a service that answers well
# within it. TROUBLE=0: its timeout-ms is 2,000.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornhub ] && [ -x target/review2 ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review2 quick-route review/10/record.txt
