#!/bin/sh
# A valid configuration with a route of 20 stages, each of which reads the results of all
# stages before it. TROUBLE=0: each reads those of the stage before it alone.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornhub ] && [ -x target/review2 ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review2 many-stages review/8/record.txt
