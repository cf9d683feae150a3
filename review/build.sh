#!/bin/sh
# Builds the stand-ins that the review's scripts start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/ $(for d in review/[0-9]*/; do ls "$d"*.go >/dev/null 2>&1 && echo "./$d"; done)
