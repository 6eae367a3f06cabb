#!/usr/bin/env bash
# A runner fails after it has run requests: are they refused as not run?
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case-2.sh" "$folder" refused
