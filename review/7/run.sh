#!/usr/bin/env bash
# A part of long prompts crashes runners: do sound requests still begin?
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case-2.sh" "$folder" deep-part
