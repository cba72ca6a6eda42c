#!/bin/sh
# Builds the stand-ins of review/6 to review/10, after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/review-second ./review/second
