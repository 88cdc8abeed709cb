#!/usr/bin/env bash
# Builds the stand-ins of the cases under review/: one program, which plays the store,
# the engines and the clients. The deployed program itself is built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -tags review -o target/review/standin ./review/standin
