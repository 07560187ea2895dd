#!/bin/sh
# Builds the harness, which holds the stand-ins of all scripted cases.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-harness ./review/harness
