#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig2 ./review/rig2
