#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh FOLDER CASE. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
timeout 118 target/review-2/stage "$2" target/cowsliparch "$1/record.txt"
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
