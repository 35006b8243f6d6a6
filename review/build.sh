#!/usr/bin/env bash
# Builds the stand-ins of the cases. The product itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/rig
