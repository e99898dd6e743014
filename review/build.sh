#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
