#!/usr/bin/env bash
# The whole check: generated files fresh, vet and linters, unit tests, simulator,
# a small fleet of real processes, and the race detector. Tests that KNOWN-RED.txt
# lists may fail: one line each, "TestName: cause, issue 16", three at most.
set -euo pipefail
cd "$(dirname "$0")"
go mod download
go mod verify
kept=$(mktemp -d)
trap 'rm -rf "$kept"' EXIT
cp internal/transport/wire/*_gen.go "$kept"/
go generate ./...
for file in "$kept"/*_gen.go; do
  if ! cmp -s "$file" "internal/transport/wire/$(basename "$file")"; then
    echo "generated file $(basename "$file") was stale: run go generate ./..." >&2
    exit 1
  fi
done
test -z "$(gofmt -l cmd coordination internal platform *.go)" || { echo "gofmt: $(gofmt -l cmd coordination internal platform *.go)" >&2; exit 1; }
go vet ./...
go vet -vettool="$(go tool -n shadow)" ./...
go tool staticcheck ./...
go tool revive -config revive.toml ./...
go build -o "$kept/bin/" ./cmd/...

# tests runs go test; FLAGS are for testverdict, which judges what it reports.
tests() {
  { local status=0; go test -json -count=1 "$@" || status=$?; echo "{\"Action\":\"exit\",\"Status\":$status}"; } |
    "$kept/bin/testverdict" -known KNOWN-RED.txt ${FLAGS:-}
}
# A machine that is very busy makes it late, not wrong. Fleets of real processes
# have the machine to themselves: their tests wait for things to happen in time.
mapfile -t packages < <(go list ./... | grep -v /testbed/fleet)
FLAGS=-partial tests -timeout 1800s "${packages[@]}"
FLAGS=-partial tests -timeout 1800s ./internal/testbed/fleet
# What comes from outside: each fuzz target with 1000 new inputs (./fuzz.sh 120 by hand: seconds).
./fuzz.sh 1000x
# Data races, where goroutines share something; the state machines have none.
FLAGS=-partial tests -race ./internal/dataplane/... ./internal/transport/... ./internal/settings ./internal/supervisor \
  ./internal/controlplane/{eventloop,adminapi,orders,journal} ./internal/daemon ./platform/...
# A short day on the platform: the programs as real processes, with stand-ins.
"$kept/bin/testbed" day -bin "$kept/bin" -seconds 8 -net -1
# A short soak: series of restarts, signals, turnovers of seeds and changes that overlap,
# and then a loss of all processes or of a disk.
"$kept/bin/testbed" soak -bin "$kept/bin" -first 1 -seeds 6 -jobs 6 -seconds 8
