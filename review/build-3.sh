#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy
# file: one program that plays clients, servers and the operator. Needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -o target/review3/drive3 ./review/_src3
