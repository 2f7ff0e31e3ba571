#!/usr/bin/env bash
# Fuzzes what comes from outside, each target with so many inputs (1000x unless told)
# or for so many seconds (120 or 120s):
# answers and streams of workers, heads of clients, bodies of operators, messages
# between nodes, journals with damage. What fails is kept under testdata/fuzz and
# is played by go test from then on.
set -euo pipefail
cd "$(dirname "$0")"
# A number of inputs ends each run the same way; with a time, go test sometimes fails
# at the moment when that is up ("context deadline exceeded").
most=${1:-1000x}
case "$most" in
  *[sx]) ;;
  *) most="${most}s" ;;
esac
grep -rl --include=fuzz_test.go '^func Fuzz' internal platform | sort | while read -r file; do
  sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file" | while read -r target; do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$most" -parallel 2 "./$(dirname "$file")" </dev/null
  done
done
