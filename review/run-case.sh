#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/cowsliparch ] || [ ! -x target/review/standin ]; then
  echo 'build first: the build line of deploy/system.toml, then review/build.sh' >&2
  exit 2
fi
timeout 118 target/review/standin "$1" "$2/record.txt"
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
