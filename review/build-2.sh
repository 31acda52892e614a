#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
GOWORK=off go build -o ../../target/review-harness-2 .
