#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it from the
# repository's root, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/stand-2
