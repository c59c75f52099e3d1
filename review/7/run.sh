#!/bin/sh
# Some servers hand out wrong bytes now and then. TROUBLE=0: they don't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornhub ] && [ -x target/review2 ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review2 unsealed review/7/record.txt
