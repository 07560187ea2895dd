#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin-2
go build -o review/bin-2/fleet2 ./review/fleet2
