#!/bin/sh
# One of eight servers fails requests after it has run them: 503 without
# Hawthornhub-Not-Executed. TROUBLE=0: it doesn't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornhub ] && [ -x target/review2 ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review2 refused-after-run review/6/record.txt
