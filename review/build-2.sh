#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. The programs of the deploy file are built by its own line.
set -e
cd "$(dirname "$0")/.."
go build -o target/second ./review/second
