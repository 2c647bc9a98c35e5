#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the cases start, into target/. The
# project's own programs are built by the command of deploy/system.toml before this.
set -eu
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/go.work go build -o target/ ./review/...
