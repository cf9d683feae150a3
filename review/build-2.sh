#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. The system's programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit2 ./review/kit2
