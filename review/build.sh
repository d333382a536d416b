#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The daemon comes from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/world
