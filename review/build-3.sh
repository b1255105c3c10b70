#!/usr/bin/env bash
# Builds what the cases 11 to 15 start besides the product: the harness with the project's stand-ins.
# The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/harness ./review/_harness3
