#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases into target/review/; it needs
# nothing but Go's own library. The sources end in .go.txt, since the cases stay out of
# the repository's default tests: these read every Go file, and allow the platform's
# names, which stand-ins must speak, in platform/ alone.
set -euo pipefail
cd "$(dirname "$0")"
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in go.mod kit/*.go.txt case*/*.go.txt; do
  mkdir -p "$sources/$(dirname "$file")"
  cp "$file" "$sources/${file%.txt}"
done
mkdir -p ../target/review
out=$(cd ../target/review && pwd)
cd "$sources"
GOWORK=off go build -buildvcs=false -trimpath -o "$out/" ./case...
