#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/hawthornhub ] || [ ! -x target/review3/drive3 ]; then
  echo "the programs are not built"
  exit 2
fi
exec target/review3/drive3 anonymous "$here"
