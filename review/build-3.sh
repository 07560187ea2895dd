#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. The programs of the
# project are built by the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stage3 ./review/stage3
