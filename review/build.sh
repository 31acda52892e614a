#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../../target/review-harness .
