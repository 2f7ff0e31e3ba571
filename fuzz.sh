#!/usr/bin/env bash
# Fuzzes what comes from outside, each target for some seconds (2 unless told):
# answers and streams of workers, heads of clients, bodies of operators, messages
# between nodes, journals with damage. What fails is kept under testdata/fuzz and
# is played by go test from then on.
set -euo pipefail
cd "$(dirname "$0")"
seconds=${1:-2}
grep -rl --include=fuzz_test.go '^func Fuzz' internal platform | sort | while read -r file; do
  sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file" | while read -r target; do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "${seconds}s" -parallel 2 "./$(dirname "$file")" </dev/null
  done
done
