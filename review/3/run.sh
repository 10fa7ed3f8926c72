#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/mallowlinkd ] && [ -x target/review-cases ] || { echo "build first: the deploy file's build and review/build.sh" >&2; exit 2; }
exec target/review-cases -case store-drill -record "$folder/record.txt"
