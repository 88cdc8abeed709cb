#!/usr/bin/env bash
# Builds the stand-ins and drivers of review/4 to review/8, which need nothing but Go's own
# library. The deployed program is built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/standin-2 ./review/standin-2
