#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/standin ./review/standin
