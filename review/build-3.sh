#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/. The sources have another ending than .go, since they
# speak the platform's names; the copy that is built is removed again.
set -euo pipefail
cd "$(dirname "$0")/.."
src=target/review-3/src
rm -rf "$src"
mkdir -p "$src"
trap 'rm -rf "$src"' EXIT
for file in review/standin-3/*.go.txt; do
    name=$(basename "$file")
    cp "$file" "$src/${name%.txt}"
done
go build -tags review3 -o target/review-3/standin "./$src"
