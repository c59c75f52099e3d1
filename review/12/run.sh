#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." && exec target/review3/drive3 anonymous "$here"
