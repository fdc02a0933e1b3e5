#!/usr/bin/env bash
# Builds the stand-in of the scripts. The gateway itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
