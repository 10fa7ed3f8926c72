#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with the project's own stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/testdata/cases
